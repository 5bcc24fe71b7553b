/** @file program_func.cpp Reports invalid flags in the same way for all programs. */
#include "runtime/program_func.h"

#include <iostream>
#include <limits>

#include <cxxopts.hpp>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace pollengrade {

std::size_t machine_memory() {
    struct sysinfo it {};
    if (::sysinfo(&it) != 0)
        return std::numeric_limits<std::size_t>::max();
    return std::size_t{it.totalram} * it.mem_unit;
}

void raise_descriptor_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit); // If it fails, the limit stays as it was.
}

int run_program(std::string_view name, const std::function<int()>& run) {
    try {
        return run();
    } catch (const cxxopts::exceptions::exception& ec) {
        std::cerr << name << ": " << ec.what() << "; see " << name << " --help\n";
        return exit_usage;
    }
}

} // namespace pollengrade
