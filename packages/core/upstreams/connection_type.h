/** @file connection_type.h Light types of connections to servers. */
#pragma once

#include <cstdint>
#include <string_view>

#include "core/base/strong_type.h"

namespace pollengrade {

using connection_id = strong_type<struct connection_tag, std::uint64_t>; ///< one connection of this process

/** How far a request has come on its connection. Only the first two prove that no server has run it. */
enum class send_state : std::uint8_t {
    not_connected,     ///< the connection did not come about
    nothing_written,   ///< no byte of the request left this process
    something_written, ///< at least one byte left; the server may have run it
    reply_begun,       ///< the server has begun to reply
};

/** Why a connection ended. */
enum class connection_end : std::uint8_t {
    closed,     ///< the server closed it
    reset,      ///< the server reset it, or nothing listens there
    silent,     ///< nothing came back within the kernel's limits
    unreadable, ///< what came is no HTTP reply, or one over the limits
    stray,      ///< bytes came that no request waits for
    not_kept,   ///< ended after a reply whose sender does not keep it
};

/** @return the name used in logs and metrics. */
[[nodiscard]] std::string_view to_string(send_state it);
[[nodiscard]] std::string_view to_string(connection_end it);

} // namespace pollengrade
