/** @file process_func.h Queries the kernel about a process. */
#pragma once

#include <cstddef>

namespace pollengrade {

/**
 * @return whether a process has installed a handler for a signal; false if it is not running. Until a program
 * has installed its handlers, a signal such as SIGTERM terminates it immediately.
 */
[[nodiscard]] bool has_handler(int pid, int signal_number);
/** @return the highest resident memory of a process so far, in bytes; 0 if it is not running. */
[[nodiscard]] std::size_t peak_memory(int pid);
/** @return whether a process ignores a signal. */
[[nodiscard]] bool ignores(int pid, int signal_number);

} // namespace pollengrade
