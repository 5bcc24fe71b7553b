/** @file announce_func.cpp Tellers by rendezvous hashing. */
#include "core/cluster/announce_func.h"

#include <algorithm>
#include <string>

#include "core/cluster/rendezvous_func.h"

namespace pollengrade {

namespace {

/** @return the tellers of a node: one of its failure domain if there is any, then any others. */
std::vector<node_address> tellers_of(const member& told, std::span<const member> duty) {
    const std::string name = "tell " + told.address.value();
    std::vector<node_address> near;
    std::vector<node_address> all;
    for (const member& it : duty) {
        // A node on duty is told as well, by others: its own word from the store may be late.
        if (it.address == told.address)
            continue;
        all.push_back(it.address);
        if (it.domain == told.domain)
            near.push_back(it.address);
    }
    std::vector<node_address> picked = pick_by_rendezvous(name, near, 1);
    if (!picked.empty())
        std::erase(all, picked.front());
    for (node_address& it : pick_by_rendezvous(name, all, tellers - picked.size()))
        picked.push_back(std::move(it));
    return picked;
}

} // namespace

std::vector<node_address> nodes_to_tell(const member& self, std::span<const member> duty,
                                        std::span<const member> live) {
    std::vector<node_address> told;
    for (const member& it : live) {
        if (it.address == self.address)
            continue;
        const auto picked = tellers_of(it, duty);
        if (std::find(picked.begin(), picked.end(), self.address) != picked.end())
            told.push_back(it.address);
    }
    return told;
}

} // namespace pollengrade
