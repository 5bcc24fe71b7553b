/** @file quantile.h A running estimate of a latency quantile in constant space. */
#pragma once

#include "core/base/time_type.h"

namespace pollengrade {

/** Follows a quantile by small steps that balance when the wanted share of samples is below it. */
class quantile_estimator {
public:
    /** @param share the wanted quantile, between 0 and 1 */
    explicit quantile_estimator(double share) : share_{share} {}

    /** Adds one sample. */
    void add(duration sample) {
        const auto n = static_cast<double>(sample.count());
        if (estimate_ <= 0) {
            estimate_ = n;
            return;
        }
        const double step = estimate_ * step_share;
        estimate_ += n > estimate_ ? step * share_ : -step * (1 - share_);
    }

    /** @return the estimate; zero before the first sample. */
    [[nodiscard]] duration value() const { return duration{static_cast<duration::rep>(estimate_)}; }

private:
    static constexpr double step_share = 0.05; ///< a step, as a share of the estimate

    double share_;        ///< the wanted quantile
    double estimate_ = 0; ///< microseconds
};

} // namespace pollengrade
