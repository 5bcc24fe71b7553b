/** @file hedge_func.cpp Between the usual reply and the target. */
#include "core/queries/hedge_func.h"

#include <algorithm>

namespace pollengrade {

namespace {

constexpr double margin_without_target = 1.5; ///< times the usual time
constexpr int target_divisor = 3;             ///< a third of the target leaves room for two replies
constexpr duration unknown_usual = std::chrono::milliseconds{20}; ///< before any reply is known

duration scaled(duration it, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(it.count()) * factor)};
}

} // namespace

duration hedge_delay(const hedge_inputs& it) {
    if (it.target)
        return std::max({it.floor, it.usual.value_or(unknown_usual), *it.target / target_divisor});
    if (!it.usual)
        return it.floor.count() > 0 ? it.floor : unknown_usual;
    return std::max(it.floor, scaled(*it.usual, margin_without_target));
}

} // namespace pollengrade
