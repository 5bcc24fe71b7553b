/** @file time_type.h Time types that all modules use. */
#pragma once

#include <chrono>
#include <cstdint>

namespace pollengrade {

using duration = std::chrono::microseconds;
/** A reading of the monotonic clock; comparable within one process only. */
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;
/** A reading of the wall clock, for values that leave the process. */
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** @return @p span in whole milliseconds, rounded towards zero. */
constexpr std::int64_t to_milliseconds(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace pollengrade
