/** @file logging.h Logging of a process. */
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace pollengrade {

/** Parts of a process whose debug lines are enabled separately. */
enum class subsystem : std::uint8_t { node, config, upstream, order, peer, platform, count };

/** Severity of a line. */
enum class log_level : std::uint8_t { debug, info, warning, error };

/**
 * Sets up logging. Must be called once, before the first line is written.
 * @param program the program's name, written in each line
 * @param debug subsystems whose debug lines are written: names separated by commas, or "all"
 * @return false if a name in @p debug is unknown
 */
bool start_logging(std::string_view program, std::string_view debug);

/** Sets the receiver of formatted lines, line breaks included; null writes to standard output directly. */
void set_line_sink(std::function<void(std::string_view)> sink);

/** Writes a line of one part of the process. */
void log_line(subsystem part, log_level level, std::string_view text);
/** Writes a line without a subsystem, at level info. */
void write_line(std::string_view text);

} // namespace pollengrade
