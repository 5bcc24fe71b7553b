/** @file process_func.cpp Reads the mask of caught signals from a process's status in /proc. */
#include "process_func.h"

#include <cstdint>
#include <fstream>
#include <string>

namespace pollengrade {

namespace {

/** @return whether a signal is in a mask of a process's status. */
bool is_in_mask(int pid, const std::string& key, int signal_number) {
    constexpr int base = 16;
    std::ifstream status{"/proc/" + std::to_string(pid) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (!line.starts_with(key))
            continue;
        const std::uint64_t mask = std::stoull(line.substr(key.size()), nullptr, base);
        return (mask >> static_cast<unsigned>(signal_number - 1) & 1U) != 0;
    }
    return false;
}

} // namespace

bool has_handler(int pid, int signal_number) {
    return is_in_mask(pid, "SigCgt:", signal_number);
}

std::size_t peak_memory(int pid) {
    constexpr std::size_t bytes_per_kib = 1024;
    std::ifstream status{"/proc/" + std::to_string(pid) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(line.find_first_of("0123456789"))) * bytes_per_kib;
    }
    return 0;
}

bool ignores(int pid, int signal_number) {
    return is_in_mask(pid, "SigIgn:", signal_number);
}

} // namespace pollengrade
