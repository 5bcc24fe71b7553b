/** @file program_func.cpp Reports invalid flags in the same way for all programs. */
#include "runtime/program_func.h"

#include <iostream>

#include <cxxopts.hpp>

namespace pollengrade {

int run_program(std::string_view name, const std::function<int()>& run) {
    try {
        return run();
    } catch (const cxxopts::exceptions::exception& ec) {
        std::cerr << name << ": " << ec.what() << "; see " << name << " --help\n";
        return exit_usage;
    }
}

} // namespace pollengrade
