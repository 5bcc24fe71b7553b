/** @file process_func.h What the kernel tells of a process. */
#pragma once

namespace pollengrade {

/**
 * @return whether a process has a handler for a signal: one that has not begun its own work has none yet, and
 * the kernel ends it; false when it is not running
 */
[[nodiscard]] bool has_handler(int pid, int signal_number);

} // namespace pollengrade
