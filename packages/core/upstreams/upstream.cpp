/** @file upstream.cpp Standing and load of one server. */
#include "core/upstreams/upstream.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace pollengrade {

namespace {

constexpr double smoothing = 0.2;                                ///< weight of a new sample
constexpr duration estimate_half_life = std::chrono::seconds{4}; ///< of a service time without new samples
constexpr double least_estimate_us = 50;                         ///< an estimate fades to this
constexpr double window_decrease = 0.7;                          ///< factor on a refusal for load
constexpr duration min_rest = std::chrono::milliseconds{100};    ///< after the first failed connection
constexpr duration max_rest = std::chrono::seconds{2};           ///< after many
constexpr duration min_silence = std::chrono::milliseconds{30};  ///< shorter silences say nothing
constexpr duration default_shed_rest = std::chrono::milliseconds{20}; ///< when the server names no time
constexpr duration max_shed_rest = std::chrono::seconds{1};           ///< a longer wish is shortened to this

} // namespace

duration upstream::expected_wait() const {
    const auto ahead = static_cast<double>(in_flight_ + queue_.size());
    const double parallel = std::min<double>(std::max(1U, limits_.slots), std::max(1.0, window_));
    return duration{static_cast<duration::rep>((ahead / parallel + 1) * service_time_us_)};
}

duration upstream::silence_limit() const {
    constexpr double service_times = 4; // Well past what queueing for the slots explains.
    return std::max(min_silence, duration{static_cast<duration::rep>(service_times * service_time_us_)});
}

double upstream::load(time_point now) const {
    const auto own = static_cast<double>(in_flight_ + queue_.size());
    // The report is as old as the last reply: count only what other nodes had there.
    const double others =
        server_in_flight_ > in_flight_ ? static_cast<double>(server_in_flight_ - in_flight_) : 0;
    // An old estimate fades, or a server that was slow once would never be asked again; one request tells.
    const double age =
        static_cast<double>((now - sampled_at_).count()) / static_cast<double>(estimate_half_life.count());
    const double estimate =
        own > 0 ? service_time_us_ : std::max(least_estimate_us, service_time_us_ * std::exp2(-age));
    return (own + others / 2 + 1) / std::max(1U, limits_.slots) * estimate;
}

void upstream::set_limits(upstream_limits limits) {
    limits_ = limits;
    window_ = std::clamp(window_, 1.0, std::max(1.0, static_cast<double>(limits.max_in_flight)));
}

bool upstream::remove_from_queue(attempt_id id) {
    const auto it = std::find(queue_.begin(), queue_.end(), id);
    if (it == queue_.end())
        return false;
    queue_.erase(it);
    return true;
}

attempt_id upstream::dequeue() {
    assert(!queue_.empty());
    const attempt_id id = queue_.front();
    queue_.pop_front();
    return id;
}

void upstream::on_finished() {
    assert(in_flight_ > 0);
    --in_flight_;
}

void upstream::on_reply(time_point now, duration service_time, std::uint32_t server_in_flight) {
    sampled_at_ = now;
    sheds_ = 0;
    service_time_us_ += smoothing * (static_cast<double>(service_time.count()) - service_time_us_);
    server_in_flight_ = server_in_flight;
    const double most = std::max(1.0, static_cast<double>(limits_.max_in_flight));
    window_ = std::min(most, window_ + 1.0 / window_);
}

void upstream::on_outpaced(time_point now, duration waited) {
    const auto least = static_cast<double>(waited.count());
    if (least < service_time_us_ / 2)
        return; // Too short to tell.
    service_time_us_ += smoothing * std::max(0.0, least - service_time_us_);
    sampled_at_ = now;
}

void upstream::on_shed(time_point now, duration retry_after) {
    const duration asked = retry_after.count() > 0 ? retry_after : default_shed_rest;
    constexpr std::uint32_t max_doublings = 6;
    shedding_until_ = now + std::min(max_shed_rest, asked * (1U << std::min(sheds_, max_doublings)));
    ++sheds_;
    window_ = std::max(1.0, window_ * window_decrease);
}

void upstream::rest(time_point now) {
    constexpr std::uint32_t max_doublings = 5;
    const std::uint32_t doublings = std::min(failures_ - failures_to_rest, max_doublings);
    closed_until_ = now + std::min(max_rest, min_rest * (1U << doublings));
}

bool upstream::on_unreachable(time_point now) {
    const bool news = failures_ < failures_to_rest;
    // Nothing listens there: no need to see it three times.
    failures_ = std::max(failures_ + 1, failures_to_rest);
    rest(now);
    return news;
}

bool upstream::on_failed(time_point now) {
    ++failures_;
    if (failures_ < failures_to_rest)
        return false;
    rest(now);
    return failures_ == failures_to_rest;
}

bool upstream::on_reachable() {
    const bool news = failures_ >= failures_to_rest;
    failures_ = 0;
    closed_until_ = time_point{};
    return news;
}

bool upstream::mark_draining(std::string_view incarnation) {
    if (draining_ && (incarnation.empty() || incarnation == incarnation_))
        return false;
    if (!incarnation.empty())
        incarnation_ = std::string{incarnation};
    const bool news = !draining_;
    draining_ = true;
    return news;
}

bool upstream::mark_live(std::string_view incarnation) {
    if (incarnation.empty() || incarnation == incarnation_)
        return false;
    const bool was_draining = draining_ && !incarnation_.empty();
    incarnation_ = std::string{incarnation};
    if (was_draining)
        draining_ = false;
    return was_draining;
}

} // namespace pollengrade
