/** @file latency_profile.h Distribution of recent latencies in constant memory. */
#pragma once

#include <array>
#include <cstddef>

#include "core/base/time_type.h"

namespace pollengrade {

/** Logarithmic histogram of latencies; all weights are halved whenever their sum reaches halving_weight, so
 * that recent samples dominate. */
class latency_profile {
public:
    /** Adds one sample. */
    void add(duration sample);
    /** @return the upper edge of the bin that contains the @p fraction quantile; zero before the first
     * sample. */
    [[nodiscard]] duration quantile(double fraction) const;
    /** @return whether there are enough samples for a meaningful tail quantile. */
    [[nodiscard]] bool has_enough_samples() const { return weight_ >= min_tail_weight; }

private:
    static constexpr std::size_t bins_per_doubling = 8; ///< each bin is 9 % wide
    static constexpr std::size_t bin_count = 20 * bins_per_doubling;
    static constexpr double min_us = 100;          ///< upper edge of the first bin; that of the last is 96 s
    static constexpr double halving_weight = 1000; ///< sum of weights at which all are halved
    static constexpr double min_tail_weight = 20;  ///< gives the 95th percentile a sample above it

    std::array<float, bin_count> bins_{}; ///< weight of each bin
    double weight_ = 0;                   ///< sum of all bins
};

} // namespace pollengrade
