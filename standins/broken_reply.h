/** @file broken_reply.h Bytes that a faulty stand-in server sends in place of a reply. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pollengrade {

/** Ways in which a reply is broken; each claims to be a whole, signed reply where its form allows. */
enum class broken_reply : std::uint8_t {
    none,
    status_zero,          ///< status 000
    status_below_range,   ///< status 099
    status_above_range,   ///< status 600
    blank_in_name,        ///< a field whose name holds a blank
    control_byte_in_name, ///< a field whose name holds a control byte
    protocol_switch,      ///< status 101, and then a reply
    chunked_old_version,  ///< chunks in HTTP/1.0
    two_lengths,          ///< a length and chunks
    broken_chunk,         ///< a chunk that is longer than it says
    endless_interim,      ///< interim replies without end
    endless_head,         ///< header lines without end
    endless_body,         ///< a body without a length and without end
    stalled_body,         ///< a large body without a length, and then silence
    stalled_stated_body,  ///< a large body with a length, and silence before its end
    count,                ///< number of the values above
};

/** What a server sends for a broken reply. */
struct broken_bytes {
    std::string first;    ///< sent once
    std::string repeated; ///< sent afterwards until the client closes the connection; empty for nothing
};

/**
 * @param kind how the reply is broken
 * @param fields header lines that a sound reply would have, without those that tell the body's length
 * @param body the body that a sound reply would have
 */
[[nodiscard]] broken_bytes bytes_of(broken_reply kind, const std::string& fields, const std::string& body);

} // namespace pollengrade
