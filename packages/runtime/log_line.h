/** @file log_line.h Log lines as this project writes them, read back. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollengrade {

/** One name with its value. */
struct log_pair {
    std::string name;  ///< as written
    std::string value; ///< without quotes
};

/** One line. */
struct log_line_parts {
    std::int64_t wall_ms = 0;    ///< of its stamp: milliseconds since the epoch
    std::uint64_t counter = 0;   ///< of its stamp: orders lines of one millisecond
    std::string node;            ///< whose line it is
    std::string event;           ///< what happened
    std::string request;         ///< the request concerned; empty for none
    std::string subject;         ///< what else is concerned; empty for none
    std::vector<log_pair> pairs; ///< the rest, in order

    /** @return a value of the rest; empty when it is not there. */
    [[nodiscard]] std::string_view value_of(std::string_view name) const;
};

/** @return the parts of a line, whatever stands before its stamp; nullopt when it has none. */
[[nodiscard]] std::optional<log_line_parts> parse_log_line(std::string_view line);

} // namespace pollengrade
