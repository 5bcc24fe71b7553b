/** @file message_writer.h Messages as bytes. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/base/message_type.h"

namespace pollengrade {

/** @return whether a header line concerns one connection only, and is never passed on. */
[[nodiscard]] bool is_hop_by_hop(std::string_view name);

/** Removes the header lines that concern one connection, those that its "Connection" lines name included. */
void remove_hop_by_hop(message_fields& fields);

/**
 * @param message the reply; framing and connection lines are set here and must not be among its fields
 * @param keeps whether the connection is kept after it
 * @param brings_body whether the request's method has a reply with a body
 * @return the reply's bytes
 */
[[nodiscard]] std::string encode_reply(const reply_message& message, bool keeps, bool brings_body);

/**
 * Appends a request's start line and header lines, without the empty line that ends them.
 * @param buf where to
 * @param message method, target and fields; framing lines must not be among them
 * @param body_size bytes of the body; zero for none
 */
void append_request_header(std::string& buf, const request_message& message, std::size_t body_size);
/** Appends one header line. */
void append_field(std::string& buf, std::string_view name, std::string_view value);

} // namespace pollengrade
