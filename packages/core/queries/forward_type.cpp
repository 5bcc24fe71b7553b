/** @file forward_type.cpp Names of refusals and failures. */
#include "core/queries/forward_type.h"

#include <array>

namespace pollengrade {

std::string_view to_string(forward_refusal it) {
    constexpr std::array<std::string_view, 6> names{"not_configured", "no_time",        "no_server",
                                                    "overload",       "refused_by_all", "stopping"};
    return names.at(static_cast<std::size_t>(it));
}

std::string_view to_string(forward_failure it) {
    constexpr std::array<std::string_view, 4> names{"timed_out", "connection_lost", "too_few_parts",
                                                    "unproven_refusal"};
    return names.at(static_cast<std::size_t>(it));
}

} // namespace pollengrade
