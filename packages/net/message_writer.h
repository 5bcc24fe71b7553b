/** @file message_writer.h Encodes HTTP/1.1 messages. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/base/message_type.h"

namespace pollengrade {

/** @return whether a header line applies to a single connection only and must not be forwarded. */
[[nodiscard]] bool is_hop_by_hop(std::string_view name);

/** Removes the header lines that apply to a single connection, including those listed in "Connection" lines.
 */
void remove_hop_by_hop(message_fields& fields);

/** An encoded reply, in two pieces so that a long body is not copied. */
struct encoded_reply {
    std::string head; ///< start line and header lines, and a short body
    std::string body; ///< a long body; empty otherwise
};

/**
 * @param message the reply; its fields must not include framing and connection lines, which are added here
 * @param keep_alive whether the connection stays open after the reply
 * @param allows_reply_body whether a reply to the request's method may have a body
 * @return the encoded reply
 */
[[nodiscard]] encoded_reply encode_reply(reply_message message, bool keep_alive, bool allows_reply_body);

/**
 * Appends a request's start line and header lines, without the empty line that ends them.
 * @param buf the buffer to append to
 * @param message method, target and fields, which must not include framing lines
 * @param body_size bytes of the body; zero for none
 */
void append_request_header(std::string& buf, const request_message& message, std::size_t body_size);
/** Appends one header line. */
void append_field(std::string& buf, std::string_view name, std::string_view value);

} // namespace pollengrade
