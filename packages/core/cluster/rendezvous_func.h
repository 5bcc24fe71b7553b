/** @file rendezvous_func.h Rendezvous hashing: selects nodes for a role without coordination. */
#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "core/base/id_type.h"

namespace pollengrade {

/**
 * Selects the nodes with the highest hash for a role. Nodes with the same view select the same nodes; a node
 * that joins or leaves changes at most one of them.
 * @param role name of the role
 * @param nodes the candidates
 * @param count number of nodes to select
 * @return at most @p count nodes, highest hash first
 */
[[nodiscard]] std::vector<node_address>
pick_by_rendezvous(std::string_view role, std::span<const node_address> nodes, std::size_t count);

} // namespace pollengrade
