/** @file hedge_func.cpp Hedge delay from the typical reply time and the target. */
#include "core/queries/hedge_func.h"

#include <algorithm>

namespace pollengrade {

namespace {

constexpr double factor_without_target = 1.5; ///< multiple of the typical reply time
constexpr int target_divisor = 3;             ///< a third of the target leaves time for two replies
constexpr duration default_typical_reply =
    std::chrono::milliseconds{20}; ///< used while reply times are unknown

duration scaled(duration it, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(it.count()) * factor)};
}

} // namespace

duration hedge_delay(const hedge_inputs& it) {
    if (it.target)
        return std::max(
            {it.min_delay, it.typical_reply.value_or(default_typical_reply), *it.target / target_divisor});
    if (!it.typical_reply)
        return it.min_delay.count() > 0 ? it.min_delay : default_typical_reply;
    return std::max(it.min_delay, scaled(*it.typical_reply, factor_without_target));
}

} // namespace pollengrade
