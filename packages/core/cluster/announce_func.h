/** @file announce_func.h Assigns which store watchers notify which nodes of a registry change. */
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "core/cluster/member_type.h"

namespace pollengrade {

constexpr std::size_t notifiers_per_node =
    2; ///< store watchers that notify each node: one may be unreachable, paused or late

/**
 * Every node must learn that servers are leaving well before they end. Random notification reaches some nodes
 * seconds late, more of them the larger the fleet; so each node has assigned notifiers. Store watchers with
 * different views may both notify a node, or in the worst case neither: the next probes then deliver the
 * update. One of a node's two notifiers is in its own failure domain if that has a store watcher, because
 * traffic between failure domains is charged.
 * @param self a store watcher
 * @param store_watchers all store watchers, including @p self, in any order
 * @param live all running nodes, including @p self
 * @return the nodes that @p self notifies, never @p self
 */
[[nodiscard]] std::vector<node_address>
nodes_to_notify(const member& self, std::span<const member> store_watchers, std::span<const member> live);

} // namespace pollengrade
