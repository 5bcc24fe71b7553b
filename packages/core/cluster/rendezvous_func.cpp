/** @file rendezvous_func.cpp Rendezvous hashing with xxHash. */
#include "core/cluster/rendezvous_func.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include <xxhash.h>

namespace pollengrade {

std::vector<node_address> pick_by_rendezvous(std::string_view role, std::span<const node_address> nodes,
                                             std::size_t count) {
    std::vector<std::pair<std::uint64_t, node_address>> ranked;
    ranked.reserve(nodes.size());
    for (const node_address& it : nodes) {
        const std::string text = std::string{role} + '\0' + it.value();
        ranked.emplace_back(XXH3_64bits(text.data(), text.size()), it);
    }
    const std::size_t selected_count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(selected_count),
                      ranked.end(), std::greater<>{});
    std::vector<node_address> picked;
    for (std::size_t n = 0; n < selected_count; ++n)
        picked.push_back(std::move(ranked[n].second));
    return picked;
}

} // namespace pollengrade
