/** @file upstream.cpp Condition and connections of one server. */
#include "core/upstreams/upstream.h"

#include <algorithm>
#include <cassert>

namespace pollengrade {

namespace {

constexpr int late_factor = 2; ///< times the usual latency: a reply counts as late
constexpr duration min_late_time = std::chrono::milliseconds{10}; ///< shorter delays are normal variation
constexpr int unresponsive_factor = 12; ///< times the usual latency: the server counts as unresponsive
/** Longer than a garbage collector's pause. */
constexpr duration min_unresponsive_time = std::chrono::milliseconds{400};
constexpr duration idle_margin = std::chrono::seconds{1}; ///< servers state whole seconds, rounded up or down

bool is_unresponsive(const request_in_flight& it, time_point now) {
    return now - it.sent > std::max(min_unresponsive_time, it.usual_latency * unresponsive_factor);
}

} // namespace

bool upstream::mark_leaving(std::string_view incarnation) {
    if (leaving_ && (incarnation.empty() || incarnation == incarnation_))
        return false;
    if (!incarnation.empty())
        incarnation_ = std::string{incarnation};
    return !std::exchange(leaving_, true);
}

bool upstream::mark_live(std::string_view incarnation) {
    if (incarnation.empty() || incarnation == incarnation_)
        return false;
    const bool was_leaving = leaving_ && !incarnation_.empty();
    incarnation_ = std::string{incarnation};
    if (was_leaving)
        leaving_ = false;
    return was_leaving;
}

void upstream::pause(time_point now, time_point sent, time_point until) {
    paused_until_ = sent >= pause_stated_at_ ? until : std::max(paused_until_, until);
    pause_stated_at_ = now;
    resumes_ = true;
}

std::vector<request_in_flight> upstream::take_unresponsive_requests(time_point now) {
    std::vector<request_in_flight> unresponsive;
    for (request_in_flight& it : in_flight_) {
        if (it.sent < ignored_before_ || it.reported_unresponsive || !is_unresponsive(it, now))
            continue;
        it.reported_unresponsive = true;
        silent_ = true;
        unresponsive.push_back(it);
    }
    return unresponsive;
}

upstream_condition upstream::condition(time_point now) const {
    if (leaving_)
        return upstream_condition::leaving;
    if (now < paused_until_)
        return upstream_condition::paused;
    bool late = false;
    for (const request_in_flight& it : in_flight_) {
        if (it.sent < ignored_before_)
            continue;
        const duration age = now - it.sent;
        if (is_unresponsive(it, now))
            return upstream_condition::unresponsive;
        late = late || age > std::max(min_late_time, it.usual_latency * late_factor);
    }
    return late || health_.is_degraded(now) ? upstream_condition::degraded : upstream_condition::ready;
}

bool upstream::is_trial_due(time_point now) const {
    const bool slow_or_failing = health_.is_slow() || health_.is_failing();
    return slow_or_failing && in_flight_.empty() && !health_.is_shedding(now) && health_.is_trial_due(now);
}

std::optional<connection_id> upstream::idle_connection(time_point now) const {
    const connection_state* best = nullptr;
    for (const connection_state& it : connections_) {
        if (!it.open || it.busy || now >= it.usable_until)
            continue;
        if (best == nullptr || it.last_used > best->last_used)
            best = &it;
    }
    return best == nullptr ? std::nullopt : std::optional{best->id};
}

std::optional<connection_id> upstream::connection_for_request(time_point now) const {
    const bool has_trial = !in_flight_.empty() && in_flight_.back().sent >= paused_until_;
    if (!rate_.may_send(now) || (resumes_ && has_trial))
        return std::nullopt;
    const auto working =
        std::count_if(in_flight_.begin(), in_flight_.end(),
                      [this](const request_in_flight& it) { return it.sent >= ignored_before_; });
    return working < concurrency_.value() ? idle_connection(now) : std::nullopt;
}

bool upstream::may_connect(time_point now) const {
    return connections_.size() < std::max(1U, limits_.max_connections) && now >= health_.connect_after();
}

bool upstream::is_connecting() const {
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const connection_state& it) { return !it.open; });
}

std::uint32_t upstream::open_connections() const {
    return static_cast<std::uint32_t>(std::count_if(connections_.begin(), connections_.end(),
                                                    [](const connection_state& it) { return it.open; }));
}

duration upstream::oldest_age(time_point now) const {
    return in_flight_.empty() ? duration{0} : now - in_flight_.front().sent;
}

std::vector<connection_id> upstream::unused_since(time_point when) const {
    std::vector<connection_id> idle;
    for (const connection_state& it : connections_) {
        if (it.open && !it.busy && it.last_used < when)
            idle.push_back(it.id);
    }
    return idle;
}

std::vector<connection_id> upstream::idle_connections() const {
    return unused_since(time_point::max());
}

upstream::connection_state& upstream::at(connection_id id) {
    const auto it = std::find_if(connections_.begin(), connections_.end(),
                                 [id](const connection_state& one) { return one.id == id; });
    assert(it != connections_.end());
    return *it;
}

void upstream::on_connecting(connection_id id, time_point now) {
    connections_.push_back({id, false, false, false, now, time_point::max()});
}

void upstream::on_connected(connection_id id, time_point now) {
    connection_state& it = at(id);
    it.open = true;
    it.last_used = now;
}

void upstream::on_connection_gone(connection_id id) {
    std::erase_if(connections_, [id](const connection_state& it) { return it.id == id; });
    std::erase_if(in_flight_, [id](const request_in_flight& it) { return it.connection == id; });
}

void upstream::on_sent(attempt_id attempt, connection_id connection, time_point now, duration usual_latency) {
    connection_state& it = at(connection);
    assert(it.open && !it.busy);
    it.busy = true;
    rate_.on_sent(now);
    in_flight_.push_back({attempt, connection, now, usual_latency});
}

void upstream::on_answered(connection_id id, time_point now, duration idle_timeout) {
    connection_state& it = at(id);
    it.busy = false;
    it.served = true;
    it.last_used = now;
    it.usable_until = idle_timeout.count() > 0 ? now + std::max(idle_timeout - idle_margin, idle_timeout / 2)
                                               : time_point::max();
    std::erase_if(in_flight_, [id](const request_in_flight& one) { return one.connection == id; });
}

bool upstream::has_served(connection_id id) const {
    return std::any_of(connections_.begin(), connections_.end(),
                       [id](const connection_state& it) { return it.id == id && it.served; });
}

const request_in_flight* upstream::request_on(connection_id id) const {
    const auto it = std::find_if(in_flight_.begin(), in_flight_.end(),
                                 [id](const request_in_flight& one) { return one.connection == id; });
    return it == in_flight_.end() ? nullptr : &*it;
}

} // namespace pollengrade
