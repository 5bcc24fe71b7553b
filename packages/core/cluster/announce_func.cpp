/** @file announce_func.cpp Tellers by rendezvous hashing. */
#include "core/cluster/announce_func.h"

#include <algorithm>
#include <string>

#include "core/cluster/rendezvous_func.h"

namespace pollengrade {

std::vector<node_address> nodes_to_tell(const node_address& self, std::span<const node_address> duty,
                                        std::span<const node_address> live) {
    std::vector<node_address> told;
    for (const node_address& it : live) {
        if (it == self)
            continue;
        // A node on duty is told as well, by others: its own word from the store may be late.
        std::vector<node_address> others{duty.begin(), duty.end()};
        std::erase(others, it);
        const auto picked = pick_by_rendezvous("tell " + it.value(), others, tellers);
        if (std::find(picked.begin(), picked.end(), self) != picked.end())
            told.push_back(it);
    }
    return told;
}

} // namespace pollengrade
