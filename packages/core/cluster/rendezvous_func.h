/** @file rendezvous_func.h Choice of nodes for a duty without agreement: rendezvous hashing. */
#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "core/base/id_type.h"

namespace pollengrade {

/**
 * Picks the nodes of highest hash for a duty. Nodes with the same view pick the same; a node that comes or
 * goes changes at most one of those picked.
 * @param duty names the duty
 * @param nodes the candidates
 * @param count how many to pick
 * @return at most @p count nodes, highest first
 */
[[nodiscard]] std::vector<node_address>
pick_by_rendezvous(std::string_view duty, std::span<const node_address> nodes, std::size_t count);

} // namespace pollengrade
