/** @file connection_type.cpp Names of send states and of reasons for a connection's end. */
#include "core/upstreams/connection_type.h"

#include <array>
#include <cstddef>

namespace pollengrade {

std::string_view to_string(send_state it) {
    constexpr std::array<std::string_view, 4> names{"not_connected", "nothing_written", "something_written",
                                                    "reply_begun"};
    return names.at(static_cast<std::size_t>(it));
}

std::string_view to_string(connection_end it) {
    constexpr std::array<std::string_view, 7> names{"closed", "reset",    "silent",     "unreadable",
                                                    "stray",  "not_kept", "over_memory"};
    return names.at(static_cast<std::size_t>(it));
}

} // namespace pollengrade
