/** @file store_watch_order.cpp Orders the watchers by rendezvous hashing. */
#include "core/cluster/store_watch_order.h"

#include <algorithm>

#include "core/cluster/rendezvous_func.h"

namespace pollengrade {

void store_watch_order::set(bool divided, std::span<const node_address> holders,
                            std::span<const node_address> live) {
    const std::span<const node_address> chosen = divided ? holders : live;
    watchers_ = pick_by_rendezvous("watch the store", {chosen.begin(), chosen.end()}, chosen.size());
}

std::optional<std::size_t> store_watch_order::rank() const {
    const auto it = std::find(watchers_.begin(), watchers_.end(), self_);
    if (it == watchers_.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - watchers_.begin());
}

} // namespace pollengrade
