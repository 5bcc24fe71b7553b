/** @file log_line.h Parser for the log lines that format_event() writes. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollengrade {

/** A name with its value. */
struct log_pair {
    std::string name;  ///< as written
    std::string value; ///< without quotes
};

/** A parsed log line. */
struct log_line_parts {
    std::int64_t wall_ms = 0;    ///< from the stamp: milliseconds since the epoch
    std::uint64_t counter = 0;   ///< from the stamp: orders lines of the same millisecond
    std::string node;            ///< name of the node that wrote the line
    std::string event;           ///< name of the event
    std::string request;         ///< ID of the request; empty for none
    std::string subject;         ///< what else the event is about; empty for none
    std::vector<log_pair> pairs; ///< all other pairs, in the order of the line

    /** @return the value of the entry of `pairs` with this name; empty if there is none. */
    [[nodiscard]] std::string_view value_of(std::string_view name) const;
};

/** @return the parts of a line, ignoring any text before its stamp; nullopt if it lacks a stamp, a node or an
 * event. */
[[nodiscard]] std::optional<log_line_parts> parse_log_line(std::string_view line);

} // namespace pollengrade
