/** @file upstream_health.cpp Thresholds at which a server becomes degraded, and is cleared again. */
#include "core/upstreams/upstream_health.h"

#include <algorithm>
#include <utility>

namespace pollengrade {

namespace {

constexpr double smoothing = 0.25; ///< weight of a new sample in the moving averages
/** Cap on one sample, so that a single long pause does not mark a server slow. */
constexpr double max_slowness = 4;
constexpr double slow_threshold = 2; ///< slowness above which a server becomes slow
/** Reply time relative to the median below which one reply clears a slow server. */
constexpr double slow_clear_threshold = 1.5;
constexpr double failing_threshold = 0.5;       ///< failure rate above which a server becomes failing
constexpr double failing_clear_threshold = 0.1; ///< failure rate below which a failing server is cleared
/** Number of consecutive failures after which a server becomes failing. */
constexpr std::uint32_t failures_to_degrade = 3;
constexpr duration first_trial_interval = std::chrono::milliseconds{100};
constexpr std::uint32_t max_trial_doublings = 4;                         ///< at most 1.6 s between trials
constexpr duration default_shed_backoff = std::chrono::milliseconds{20}; ///< if the server states no time
/** Cap on the time that a server states, and on the growing backoff. */
constexpr duration max_shed_backoff = std::chrono::seconds{1};
constexpr std::uint32_t max_shed_doublings = 6;
constexpr duration first_connect_backoff = std::chrono::milliseconds{100};
constexpr std::uint32_t max_connect_doublings = 4; ///< at most 1.6 s between attempts

duration doubled(duration first, std::uint32_t times, std::uint32_t most) {
    return first * (1U << std::min(times, most));
}

} // namespace

void upstream_health::on_reply(time_point now, time_point sent, duration took, duration median_latency) {
    failures_in_row_ = 0;
    sheds_in_row_ = 0;
    failed_connects_ = 0;
    failure_rate_ -= smoothing * failure_rate_;
    if (failing_ && failure_rate_ < failing_clear_threshold)
        failing_ = false;
    if (median_latency.count() > 0)
        note_slowness(now, sent < last_slow_reply_ ? 0
                                                   : static_cast<double>(took.count()) /
                                                         static_cast<double>(median_latency.count()));
    if (!slow_ && !failing_)
        trials_in_row_ = 0;
}

void upstream_health::note_slowness(time_point now, double ratio) {
    if (ratio <= 0)
        return; // The reply was held up by the same delay as an earlier one and adds no information.
    slowness_ += smoothing * (std::min(ratio, max_slowness) - slowness_);
    if (ratio > slow_threshold)
        last_slow_reply_ = now;
    if (!slow_ && slowness_ > slow_threshold) {
        slow_ = true;
        enter_degraded(now);
    } else if (slow_ && ratio < slow_clear_threshold) {
        // Trials are rare, so one reply at normal speed clears the server. The slowness is kept at the clear
        // threshold: if the server is still slow, a few replies mark it slow again.
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
    ++trials_in_row_; // Reset once replies have cleared the server.
    next_trial_ = now + doubled(first_trial_interval, trials_in_row_, max_trial_doublings);
}

bool upstream_health::on_connected() {
    // failed_connects_ is not reset here: the backoff starts over only after a good reply on a connection.
    connect_after_ = time_point{};
    return std::exchange(unreachable_, false);
}

bool upstream_health::on_connect_failed(time_point now) {
    connect_after_ = now + doubled(first_connect_backoff, failed_connects_, max_connect_doublings);
    ++failed_connects_;
    return !std::exchange(unreachable_, true);
}

} // namespace pollengrade
