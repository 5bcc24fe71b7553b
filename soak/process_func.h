/** @file process_func.h Queries the kernel about a process. */
#pragma once

namespace pollengrade {

/**
 * @return whether a process has installed a handler for a signal; false if it is not running. Until a program
 * has installed its handlers, a signal such as SIGTERM terminates it immediately.
 */
[[nodiscard]] bool has_handler(int pid, int signal_number);
/** @return whether a process ignores a signal. */
[[nodiscard]] bool ignores(int pid, int signal_number);

} // namespace pollengrade
