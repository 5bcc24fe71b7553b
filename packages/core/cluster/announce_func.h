/** @file announce_func.h Which nodes are told by which that the registry has changed. */
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "core/cluster/member_type.h"

namespace pollengrade {

constexpr std::size_t tellers =
    2; ///< nodes on duty that tell each other node: one may be cut off, paused or late

/**
 * Load it answers: news of servers that leave is to be with every node well before the servers end. Told at
 * random, a few nodes hear of it seconds late, ever more of them the larger the fleet; so each node has its
 * tellers. Nodes with different views may both tell a node, or in the worst case neither: the next probes
 * make up for it.
 * One of a node's two tellers is of its own failure domain where that has a node on duty: bytes between
 * domains are paid for.
 * @param self a node on duty
 * @param duty all nodes on duty, this one included, in any order
 * @param live all running nodes, this one included
 * @return the nodes that this one tells; itself is never among them
 */
[[nodiscard]] std::vector<node_address> nodes_to_tell(const member& self, std::span<const member> duty,
                                                      std::span<const member> live);

} // namespace pollengrade
