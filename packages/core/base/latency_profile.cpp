/** @file latency_profile.cpp Logarithmic bins that forget. */
#include "core/base/latency_profile.h"

#include <algorithm>
#include <cmath>

namespace pollengrade {

void latency_profile::add(duration sample) {
    const double us = std::max(least_us, static_cast<double>(sample.count()));
    const double place = std::ceil(std::log2(us / least_us) * bins_per_doubling);
    const auto bin = std::min(bin_count - 1, static_cast<std::size_t>(place));
    bins_.at(bin) += 1;
    weight_ += 1;
    if (weight_ < full_weight)
        return;
    for (float& it : bins_)
        it /= 2;
    weight_ /= 2;
}

duration latency_profile::quantile(double share) const {
    if (weight_ <= 0)
        return duration{0};
    double left = share * weight_;
    std::size_t bin = 0;
    for (; bin + 1 < bin_count; ++bin) {
        left -= static_cast<double>(bins_.at(bin));
        if (left <= 0)
            break;
    }
    const double us = least_us * std::exp2(static_cast<double>(bin) / bins_per_doubling);
    return duration{static_cast<duration::rep>(us)};
}

} // namespace pollengrade
