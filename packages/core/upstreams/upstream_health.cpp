/** @file upstream_health.cpp Thresholds between trust and doubt. */
#include "core/upstreams/upstream_health.h"

#include <algorithm>
#include <utility>

namespace pollengrade {

namespace {

constexpr double smoothing = 0.25; ///< weight of a new sample
constexpr double max_slowness = 4; ///< a sample counts as no slower, so that one long pause is not a verdict
constexpr double slow_threshold = 2;             ///< slowness at which others are asked first
constexpr double slow_clear_threshold = 1.5;     ///< slowness at which a slow server is cleared
constexpr double failing_threshold = 0.5;        ///< share of failures at which others are asked first
constexpr double failing_clear_threshold = 0.1;  ///< share of failures at which a failing server is cleared
constexpr std::uint32_t failures_to_degrade = 3; ///< in a row
constexpr duration first_trial_interval = std::chrono::milliseconds{100};
constexpr std::uint32_t max_trial_doublings = 4;                         ///< 1.6 s between trials
constexpr duration default_shed_backoff = std::chrono::milliseconds{20}; ///< when the server names no time
constexpr duration max_shed_backoff = std::chrono::seconds{1}; ///< a longer wish is shortened to this
constexpr std::uint32_t max_shed_doublings = 6;
constexpr duration first_connect_backoff = std::chrono::milliseconds{100};
constexpr std::uint32_t max_connect_doublings = 4; ///< 1.6 s between tries

duration doubled(duration first, std::uint32_t times, std::uint32_t most) {
    return first * (1U << std::min(times, most));
}

} // namespace

void upstream_health::on_reply(time_point now, time_point sent, duration took, duration usual) {
    failures_in_row_ = 0;
    sheds_in_row_ = 0;
    failed_connects_ = 0;
    failure_rate_ -= smoothing * failure_rate_;
    if (failing_ && failure_rate_ < failing_clear_threshold)
        failing_ = false;
    if (usual.count() > 0)
        note_slowness(now, sent < last_slow_reply_
                               ? 0
                               : static_cast<double>(took.count()) / static_cast<double>(usual.count()));
    if (!slow_ && !failing_)
        trials_in_row_ = 0;
}

void upstream_health::note_slowness(time_point now, double ratio) {
    if (ratio <= 0)
        return; // It waited behind the same delay as an earlier one: no news.
    slowness_ += smoothing * (std::min(ratio, max_slowness) - slowness_);
    if (ratio > slow_threshold)
        last_slow_reply_ = now;
    if (!slow_ && slowness_ > slow_threshold) {
        slow_ = true;
        enter_degraded(now);
    } else if (slow_ && ratio < slow_clear_threshold) {
        // Trials are few: one reply at usual speed is enough to be asked again, and to be found out again.
        slowness_ = std::min(slowness_, slow_clear_threshold);
        slow_ = false;
    }
}

void upstream_health::on_failure(time_point now) {
    ++failures_in_row_;
    failure_rate_ += smoothing * (1 - failure_rate_);
    if (failing_)
        return;
    if (failures_in_row_ < failures_to_degrade && failure_rate_ <= failing_threshold)
        return;
    failing_ = true;
    failure_rate_ = std::max(failure_rate_, failing_threshold);
    enter_degraded(now);
}

void upstream_health::on_shed(time_point now, duration retry_after) {
    const duration asked = retry_after.count() > 0 ? retry_after : default_shed_backoff;
    shedding_until_ = now + std::min(max_shed_backoff, doubled(asked, sheds_in_row_, max_shed_doublings));
    ++sheds_in_row_;
}

void upstream_health::enter_degraded(time_point now) {
    trials_in_row_ = 0;
    next_trial_ = now + first_trial_interval;
}

void upstream_health::on_trial(time_point now) {
    ++trials_in_row_; // Until its reply says otherwise.
    next_trial_ = now + doubled(first_trial_interval, trials_in_row_, max_trial_doublings);
}

bool upstream_health::on_connected() {
    // The pause before the next try is forgotten only once a connection has been of use.
    connect_after_ = time_point{};
    return std::exchange(unreachable_, false);
}

bool upstream_health::on_connect_failed(time_point now) {
    connect_after_ = now + doubled(first_connect_backoff, failed_connects_, max_connect_doublings);
    ++failed_connects_;
    return !std::exchange(unreachable_, true);
}

} // namespace pollengrade
