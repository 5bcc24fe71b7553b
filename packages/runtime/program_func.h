/** @file program_func.h Code shared by the main functions of all programs. */
#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace pollengrade {

inline constexpr int exit_usage = 2; ///< exit code for invalid flags or settings

/** @return the memory of the machine, in bytes, as the system reports it. */
[[nodiscard]] std::size_t machine_memory();

/** Raises the limit of open descriptors as far as the system allows without privileges. */
void raise_descriptor_limit();

/**
 * Runs a program. Invalid flags end it with an error message and exit_usage.
 * @param name the program's name, for the error message
 * @param run the program's main function
 * @return the exit code
 */
int run_program(std::string_view name, const std::function<int()>& run);

} // namespace pollengrade
