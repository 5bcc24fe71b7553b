/** @file retry_budget.cpp Sliding window made of time slices. */
#include "core/upstreams/retry_budget.h"

#include <algorithm>

namespace pollengrade {

retry_budget::slice& retry_budget::current(time_point now) {
    const auto slice_us =
        std::max<std::int64_t>(1, limits_.window.count() / static_cast<std::int64_t>(slice_count));
    const std::int64_t number = now.time_since_epoch().count() / slice_us;
    const auto size = static_cast<std::int64_t>(slices_.size());
    const std::int64_t steps = std::clamp<std::int64_t>(number - latest_, 0, size);
    for (std::int64_t n = number - steps + 1; n <= number; ++n)
        slices_.at(static_cast<std::size_t>(n % size)) = {};
    latest_ = std::max(latest_, number);
    // The oldest slice lies partly before the window. Its needed requests no longer count, its extra
    // requests still do, so that the limit holds in every window.
    const auto oldest = static_cast<std::size_t>((latest_ + 1) % size);
    needed_ = 0;
    extra_ = 0;
    for (std::size_t n = 0; n < slices_.size(); ++n) {
        needed_ += n == oldest ? 0 : slices_.at(n).needed;
        extra_ += slices_.at(n).extra;
    }
    return slices_.at(static_cast<std::size_t>(latest_ % size));
}

void retry_budget::on_needed_request(time_point now) {
    ++current(now).needed;
}

double retry_budget::left(time_point now) {
    current(now);
    return limits_.ratio * needed_ + limits_.slack - extra_;
}

double retry_budget::share_left(time_point now) {
    const double remaining = left(now);
    const double allowed = limits_.ratio * needed_ + limits_.slack;
    return allowed <= 0 ? 0 : std::clamp(remaining / allowed, 0.0, 1.0);
}

void retry_budget::on_retry_ended(bool succeeded) {
    constexpr double smoothing = 0.05; // weight of one retry
    success_rate_ += smoothing * ((succeeded ? 1.0 : 0.0) - success_rate_);
}

bool retry_budget::try_take(time_point now) {
    if (left(now) < 1)
        return false;
    ++current(now).extra;
    return true;
}

void retry_budget::give_back(time_point now) {
    slice& it = current(now);
    it.extra -= std::min(it.extra, 1U);
}

} // namespace pollengrade
