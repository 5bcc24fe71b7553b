/** @file log_files.h Reads the log lines of several nodes. */
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runtime/log_line.h"

namespace pollengrade {

/**
 * @param files files with log lines; "-" for standard input
 * @return the lines in causal order; nullopt if a file cannot be read, which is printed
 */
[[nodiscard]] std::optional<std::vector<log_line_parts>>
read_log_files(const std::vector<std::string>& files);

/** @return the servers that a line of a request names. */
[[nodiscard]] std::set<std::string> servers_named_by(const log_line_parts& line);

/** @return a line for people to read. */
[[nodiscard]] std::string format_log_line(const log_line_parts& line);

} // namespace pollengrade
