/** @file latency_profile.h The recent distribution of a latency, in constant space. */
#pragma once

#include <array>
#include <cstddef>

#include "core/base/time_type.h"

namespace pollengrade {

/** Counts samples in logarithmic bins; older samples lose half their weight as new ones come. */
class latency_profile {
public:
    /** Adds one sample. */
    void add(duration sample);
    /** @return the upper edge of the bin that holds a quantile; zero before the first sample. */
    [[nodiscard]] duration quantile(double fraction) const;
    /** @return whether enough samples are in for a quantile near the tail to mean something. */
    [[nodiscard]] bool has_enough_samples() const { return weight_ >= min_tail_weight; }

private:
    static constexpr std::size_t bins_per_doubling = 8; ///< 9 % a bin
    static constexpr std::size_t bin_count = 20 * bins_per_doubling;
    static constexpr double min_us = 100;          ///< upper edge of the first bin; the last is at 105 s
    static constexpr double halving_weight = 1000; ///< at which all counts are halved
    static constexpr double min_tail_weight = 20;  ///< a 95th percentile then has a sample above it

    std::array<float, bin_count> bins_{}; ///< weights
    double weight_ = 0;                   ///< of all bins
};

} // namespace pollengrade
