/** @file message_type.h HTTP messages as the core passes them on: fields in their order, bytes as they came.
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pollengrade {

/** One header line. */
struct message_field {
    std::string name;  ///< as spelled by the sender
    std::string value; ///< without white space around it

    friend bool operator==(const message_field&, const message_field&) = default;
};

using message_fields = std::vector<message_field>;

/** A whole request. */
struct request_message {
    std::string method;     ///< as spelled by the caller
    std::string target;     ///< path and query, as they came
    message_fields fields;  ///< every header line, in order
    std::string body;       ///< without transfer coding
    bool keep_alive = true; ///< whether the caller wants the connection kept
};

/** A whole reply. */
struct reply_message {
    unsigned status = 0;    ///< three digits
    message_fields fields;  ///< every header line, in order
    std::string body;       ///< without transfer coding
    bool keep_alive = true; ///< whether the sender keeps the connection
};

/** @return whether two header names are the same; letter case does not count. */
[[nodiscard]] bool is_same_name(std::string_view a, std::string_view b);
/** @return the first field of a name; null when there is none. */
[[nodiscard]] const message_field* find_field(const message_fields& fields, std::string_view name);
/** @return the value of the first field of a name; empty when there is none. */
[[nodiscard]] std::string_view value_of(const message_fields& fields, std::string_view name);

} // namespace pollengrade
