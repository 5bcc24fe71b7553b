/** @file logging.h Log lines of a process: one for each change of state, on standard error. */
#pragma once

#include <cstdint>
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

/** Writes one line. */
void log_line(subsystem part, log_level level, std::string_view text);

} // namespace pollengrade
