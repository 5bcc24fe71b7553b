/** @file connection_type.h Types that describe connections to servers. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/base/strong_type.h"

namespace pollengrade {

/** Identifies one connection of this process. */
using connection_id = strong_type<struct connection_tag, std::uint64_t>;

/** Progress of a request on its connection. Only the first two states prove that no server has run it. */
enum class send_state : std::uint8_t {
    not_connected,     ///< the connection was not established
    nothing_written,   ///< no byte of the request has left this process
    something_written, ///< at least one byte has left this process; the server may have run the request
    reply_begun,       ///< the server has begun to reply
};

/** Why a connection ended. */
enum class connection_end : std::uint8_t {
    closed,      ///< the server closed it
    reset,       ///< the server reset it, or nothing listens at the address
    silent,      ///< no response within the kernel's time limits
    unreadable,  ///< the received bytes are not an HTTP reply, or exceed the limits
    stray,       ///< bytes arrived although no request waits for a reply
    not_kept,    ///< closed after a reply because the server does not keep the connection open
    over_memory, ///< closed within a reply, because the replies under way take too much memory
};

/** How far a reply has been read that is not complete. */
struct reply_extent {
    std::size_t held = 0;                  ///< bytes held of it
    std::optional<std::size_t> body_bytes; ///< size of the whole body, if its head is complete and states it
};

/** @return the name used in logs and metrics. */
[[nodiscard]] std::string_view to_string(send_state it);
[[nodiscard]] std::string_view to_string(connection_end it);

} // namespace pollengrade
