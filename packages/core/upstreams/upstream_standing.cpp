/** @file upstream_standing.cpp Thresholds between trust and doubt. */
#include "core/upstreams/upstream_standing.h"

#include <algorithm>
#include <utility>

namespace pollengrade {

namespace {

constexpr double smoothing = 0.25;  ///< weight of a new sample
constexpr double most_slowness = 4; ///< a sample counts as no slower, so that one long pause is not a verdict
constexpr double slow_above = 2;    ///< slowness at which others are asked first
constexpr double slow_below = 1.5;  ///< slowness at which a slow server is cleared
constexpr double failing_above = 0.5;          ///< share of failures at which others are asked first
constexpr double failing_below = 0.1;          ///< share of failures at which a failing server is cleared
constexpr std::uint32_t failures_to_doubt = 3; ///< in a row
constexpr duration first_trial_interval = std::chrono::milliseconds{100};
constexpr std::uint32_t most_trial_doublings = 4;                     ///< 1.6 s between trials
constexpr duration default_shed_rest = std::chrono::milliseconds{20}; ///< when the server names no time
constexpr duration longest_shed_rest = std::chrono::seconds{1};       ///< a longer wish is shortened to this
constexpr std::uint32_t most_shed_doublings = 6;
constexpr duration first_connect_pause = std::chrono::milliseconds{100};
constexpr std::uint32_t most_connect_doublings = 4; ///< 1.6 s between tries

duration doubled(duration first, std::uint32_t times, std::uint32_t most) {
    return first * (1U << std::min(times, most));
}

} // namespace

void upstream_standing::on_reply(time_point now, time_point sent, duration took, duration usual) {
    failures_in_row_ = 0;
    sheds_in_row_ = 0;
    failed_connects_ = 0;
    failure_share_ -= smoothing * failure_share_;
    if (failing_ && failure_share_ < failing_below)
        failing_ = false;
    if (usual.count() > 0)
        note_slowness(now, sent < last_slow_reply_
                               ? 0
                               : static_cast<double>(took.count()) / static_cast<double>(usual.count()));
    if (!slow_ && !failing_)
        bad_trials_ = 0;
}

void upstream_standing::note_slowness(time_point now, double ratio) {
    if (ratio <= 0)
        return; // It waited behind the same delay as an earlier one: no news.
    slowness_ += smoothing * (std::min(ratio, most_slowness) - slowness_);
    if (ratio > slow_above)
        last_slow_reply_ = now;
    if (!slow_ && slowness_ > slow_above) {
        slow_ = true;
        enter_doubt(now);
    } else if (slow_ && ratio < slow_below) {
        // Trials are few: one reply at usual speed is enough to be asked again, and to be found out again.
        slowness_ = std::min(slowness_, slow_below);
        slow_ = false;
    }
}

void upstream_standing::on_failure(time_point now) {
    ++failures_in_row_;
    failure_share_ += smoothing * (1 - failure_share_);
    if (failing_)
        return;
    if (failures_in_row_ < failures_to_doubt && failure_share_ <= failing_above)
        return;
    failing_ = true;
    failure_share_ = std::max(failure_share_, failing_above);
    enter_doubt(now);
}

void upstream_standing::on_shed(time_point now, duration retry_after) {
    const duration asked = retry_after.count() > 0 ? retry_after : default_shed_rest;
    shedding_until_ = now + std::min(longest_shed_rest, doubled(asked, sheds_in_row_, most_shed_doublings));
    ++sheds_in_row_;
}

void upstream_standing::enter_doubt(time_point now) {
    bad_trials_ = 0;
    next_trial_ = now + first_trial_interval;
}

void upstream_standing::on_trial(time_point now) {
    ++bad_trials_; // Until its reply says otherwise.
    next_trial_ = now + doubled(first_trial_interval, bad_trials_, most_trial_doublings);
}

bool upstream_standing::on_connected() {
    // The pause before the next try is forgotten only once a connection has been of use.
    connect_after_ = time_point{};
    return std::exchange(unreachable_, false);
}

bool upstream_standing::on_connect_failed(time_point now) {
    connect_after_ = now + doubled(first_connect_pause, failed_connects_, most_connect_doublings);
    ++failed_connects_;
    return !std::exchange(unreachable_, true);
}

} // namespace pollengrade
