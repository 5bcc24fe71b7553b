/** @file program_func.h What the main functions of all programs share. */
#pragma once

#include <functional>
#include <string_view>

namespace pollengrade {

inline constexpr int exit_usage = 2; ///< wrong flags or settings

/**
 * Runs a program; wrong flags end it with a message and exit_usage.
 * @param name of the program, for the message
 * @param run the program
 * @return the exit code
 */
int run_program(std::string_view name, const std::function<int()>& run);

} // namespace pollengrade
