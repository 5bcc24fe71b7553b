/** @file announce_func.cpp Selects notifiers by rendezvous hashing. */
#include "core/cluster/announce_func.h"

#include <algorithm>
#include <string>

#include "core/cluster/rendezvous_func.h"

namespace pollengrade {

namespace {

/** @return the notifiers of a node: one from its failure domain if there is any, then others. */
std::vector<node_address> notifiers_of(const member& notified, std::span<const member> store_watchers) {
    const std::string name = "tell " + notified.address.value();
    std::vector<node_address> local;
    std::vector<node_address> all;
    for (const member& it : store_watchers) {
        // Other store watchers notify a store watcher too: its own watch of the store may lag.
        if (it.address == notified.address)
            continue;
        all.push_back(it.address);
        if (it.domain == notified.domain)
            local.push_back(it.address);
    }
    std::vector<node_address> picked = pick_by_rendezvous(name, local, 1);
    if (!picked.empty())
        std::erase(all, picked.front());
    for (node_address& it : pick_by_rendezvous(name, all, notifiers_per_node - picked.size()))
        picked.push_back(std::move(it));
    return picked;
}

} // namespace

std::vector<node_address> nodes_to_notify(const member& self, std::span<const member> store_watchers,
                                          std::span<const member> live) {
    std::vector<node_address> notified;
    for (const member& it : live) {
        if (it.address == self.address)
            continue;
        const auto picked = notifiers_of(it, store_watchers);
        if (std::find(picked.begin(), picked.end(), self.address) != picked.end())
            notified.push_back(it.address);
    }
    return notified;
}

} // namespace pollengrade
