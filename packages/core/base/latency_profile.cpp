/** @file latency_profile.cpp Logarithmic latency histogram with decaying weights. */
#include "core/base/latency_profile.h"

#include <algorithm>
#include <cmath>

namespace pollengrade {

void latency_profile::add(duration sample) {
    const double us = std::max(min_us, static_cast<double>(sample.count()));
    const double position = std::ceil(std::log2(us / min_us) * bins_per_doubling);
    const auto bin = std::min(bin_count - 1, static_cast<std::size_t>(position));
    bins_.at(bin) += 1;
    weight_ += 1;
    if (weight_ < halving_weight)
        return;
    for (float& it : bins_)
        it /= 2;
    weight_ /= 2;
}

duration latency_profile::quantile(double fraction) const {
    if (weight_ <= 0)
        return duration{0};
    double remaining = fraction * weight_;
    std::size_t bin = 0;
    for (; bin + 1 < bin_count; ++bin) {
        remaining -= static_cast<double>(bins_.at(bin));
        if (remaining <= 0)
            break;
    }
    const double us = min_us * std::exp2(static_cast<double>(bin) / bins_per_doubling);
    return duration{static_cast<duration::rep>(us)};
}

} // namespace pollengrade
