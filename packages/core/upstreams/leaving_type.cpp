/** @file leaving_type.cpp Names of the sources. */
#include "core/upstreams/leaving_type.h"

#include <array>
#include <cstddef>

namespace pollengrade {

std::string_view to_string(leaving_source it) {
    constexpr std::array<std::string_view, 5> names{"entry", "removal", "reply", "wrong_server",
                                                    "other_node"};
    return names.at(static_cast<std::size_t>(it));
}

} // namespace pollengrade
