/** @file logging.h Log lines of a process. */
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace pollengrade {

/** The parts of a process whose debug level is set apart. */
enum class subsystem : std::uint8_t { node, config, upstream, order, peer, platform, count };

/** How grave a line is. */
enum class log_level : std::uint8_t { debug, info, warning, error };

/**
 * Sets up logging; called once, before any line.
 * @param program the name put on each line
 * @param debug subsystems whose debug lines are shown: names separated by commas, or "all"
 * @return false when a name in @p debug is unknown
 */
bool start_logging(std::string_view program, std::string_view debug);

/** Sets what takes finished lines, their ends included; null for standard output at once. */
void set_line_sink(std::function<void(std::string_view)> sink);

/** Writes one line about a part of the process. */
void log_line(subsystem part, log_level level, std::string_view text);
/** Writes one line as it is, with the time before it. */
void write_line(std::string_view text);

} // namespace pollengrade
