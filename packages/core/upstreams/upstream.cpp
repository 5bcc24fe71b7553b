/** @file upstream.cpp Condition and connections of one server. */
#include "core/upstreams/upstream.h"

#include <algorithm>
#include <cassert>

namespace pollengrade {

namespace {

constexpr int late_factor = 2;                                     ///< times the usual limit: a reply is late
constexpr duration least_lateness = std::chrono::milliseconds{10}; ///< shorter delays say nothing
constexpr int silent_factor = 12; ///< times the usual limit: the server counts as lost
constexpr duration least_silence = std::chrono::milliseconds{400}; ///< longer than a collector's pause
constexpr duration idle_margin = std::chrono::seconds{1}; ///< servers state whole seconds, rounded either way

bool is_silent(const request_in_flight& it, time_point now) {
    return now - it.sent > std::max(least_silence, it.usual * silent_factor);
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

std::vector<request_in_flight> upstream::take_silent_flights(time_point now) {
    std::vector<request_in_flight> silent;
    for (request_in_flight& it : flights_) {
        if (it.sent < excused_before_ || it.noted_silent || !is_silent(it, now))
            continue;
        it.noted_silent = true;
        silent.push_back(it);
    }
    return silent;
}

upstream_condition upstream::condition(time_point now) const {
    if (leaving_)
        return upstream_condition::leaving;
    bool late = false;
    for (const request_in_flight& it : flights_) {
        if (it.sent < excused_before_)
            continue;
        const duration age = now - it.sent;
        if (is_silent(it, now))
            return upstream_condition::silent;
        late = late || age > std::max(least_lateness, it.usual * late_factor);
    }
    return late || standing_.is_doubtful(now) ? upstream_condition::doubtful : upstream_condition::ready;
}

bool upstream::is_trial_due(time_point now) const {
    const bool in_doubt = standing_.is_slow() || standing_.is_failing();
    return in_doubt && flights_.empty() && !standing_.is_shedding(now) && standing_.is_trial_due(now);
}

std::optional<connection_id> upstream::idle_connection(time_point now) const {
    const link* best = nullptr;
    for (const link& it : links_) {
        if (!it.open || it.busy || now >= it.usable_until)
            continue;
        if (best == nullptr || it.last_used > best->last_used)
            best = &it;
    }
    return best == nullptr ? std::nullopt : std::optional{best->id};
}

bool upstream::may_connect(time_point now) const {
    return links_.size() < std::max(1U, limits_.max_connections) && now >= standing_.connect_after();
}

bool upstream::is_connecting() const {
    return std::any_of(links_.begin(), links_.end(), [](const link& it) { return !it.open; });
}

std::uint32_t upstream::open_connections() const {
    return static_cast<std::uint32_t>(
        std::count_if(links_.begin(), links_.end(), [](const link& it) { return it.open; }));
}

duration upstream::oldest_age(time_point now) const {
    return flights_.empty() ? duration{0} : now - flights_.front().sent;
}

std::vector<connection_id> upstream::unused_since(time_point when) const {
    std::vector<connection_id> idle;
    for (const link& it : links_) {
        if (it.open && !it.busy && it.last_used < when)
            idle.push_back(it.id);
    }
    return idle;
}

std::vector<connection_id> upstream::idle_connections() const {
    return unused_since(time_point::max());
}

upstream::link& upstream::at(connection_id id) {
    const auto it =
        std::find_if(links_.begin(), links_.end(), [id](const link& one) { return one.id == id; });
    assert(it != links_.end());
    return *it;
}

void upstream::on_connecting(connection_id id, time_point now) {
    links_.push_back({id, false, false, false, now, time_point::max()});
}

void upstream::on_connected(connection_id id, time_point now) {
    link& it = at(id);
    it.open = true;
    it.last_used = now;
}

void upstream::on_connection_gone(connection_id id) {
    std::erase_if(links_, [id](const link& it) { return it.id == id; });
    std::erase_if(flights_, [id](const request_in_flight& it) { return it.connection == id; });
}

void upstream::on_sent(attempt_id attempt, connection_id connection, time_point now, duration usual) {
    link& it = at(connection);
    assert(it.open && !it.busy);
    it.busy = true;
    flights_.push_back({attempt, connection, now, usual});
}

void upstream::on_answered(connection_id id, time_point now, duration idle_limit) {
    link& it = at(id);
    it.busy = false;
    it.served = true;
    it.last_used = now;
    it.usable_until =
        idle_limit.count() > 0 ? now + std::max(idle_limit - idle_margin, idle_limit / 2) : time_point::max();
    std::erase_if(flights_, [id](const request_in_flight& one) { return one.connection == id; });
}

bool upstream::has_served(connection_id id) const {
    return std::any_of(links_.begin(), links_.end(),
                       [id](const link& it) { return it.id == id && it.served; });
}

const request_in_flight* upstream::flight_on(connection_id id) const {
    const auto it = std::find_if(flights_.begin(), flights_.end(),
                                 [id](const request_in_flight& one) { return one.connection == id; });
    return it == flights_.end() ? nullptr : &*it;
}

} // namespace pollengrade
