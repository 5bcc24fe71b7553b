/** @file message_type.h HTTP messages as the core forwards them: header fields in order, bytes unchanged. */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/time_type.h"

namespace pollengrade {

/** An HTTP header field. */
struct message_field {
    std::string name;  ///< in the sender's spelling
    std::string value; ///< without leading and trailing white space

    friend bool operator==(const message_field&, const message_field&) = default;
};

using message_fields = std::vector<message_field>;

/** A complete HTTP request. */
struct request_message {
    std::string method;     ///< in the caller's spelling
    std::string target;     ///< path and query, unchanged
    message_fields fields;  ///< every header line, in order
    std::string body;       ///< without transfer coding
    bool keep_alive = true; ///< whether the caller asks to keep the connection open
    duration round_trip{};  ///< round trip of the caller's connection; zero if unknown
};

/** A complete HTTP reply. */
struct reply_message {
    unsigned status = 0;    ///< three-digit HTTP status code
    message_fields fields;  ///< every header line, in order
    std::string body;       ///< without transfer coding
    bool keep_alive = true; ///< whether the sender keeps the connection open
};

/** @return whether HTTP defines a class for the status code; a message with another one is no reply. */
[[nodiscard]] bool is_valid_status(unsigned status);
/** @return whether no other reply to the same request follows a reply with the status code. */
[[nodiscard]] bool is_final_status(unsigned status);
/** @return whether the status code says that the request was answered. */
[[nodiscard]] bool is_success_status(unsigned status);
/** @return whether the status code says that the server failed. */
[[nodiscard]] bool is_server_error_status(unsigned status);
/** @return whether two header names are equal, ignoring case. */
[[nodiscard]] bool is_same_name(std::string_view a, std::string_view b);
/** @return the first field with this name; null if there is none. */
[[nodiscard]] const message_field* find_field(const message_fields& fields, std::string_view name);
/** @return the value of the first field with this name; empty if there is none. */
[[nodiscard]] std::string_view value_of(const message_fields& fields, std::string_view name);

} // namespace pollengrade
