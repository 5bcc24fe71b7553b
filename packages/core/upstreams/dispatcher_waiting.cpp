/** @file dispatcher_waiting.cpp Attempts that wait for a server, and how long a new one would. */
#include <algorithm>
#include <utility>

#include "core/upstreams/dispatcher.h"

namespace pollengrade {

namespace {

constexpr double usual_reply = 0.5; ///< quantile of the reply times that a queue's length is multiplied by

} // namespace

std::vector<const upstream*> dispatcher::reachable_servers(const replica_set& set,
                                                           std::span<const upstream_id> excluded) const {
    const time_point now = timers_.now();
    std::vector<const upstream*> servers;
    for (const upstream_id& id : set.members) {
        const upstream* server = find(id);
        if (server == nullptr || std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        const bool may_connect = server->open_connections() > 0 || !server->health().is_unreachable();
        if (takes_requests(server->condition(now)) && may_connect)
            servers.push_back(server);
    }
    return servers;
}

std::optional<duration> dispatcher::expected_wait(const replica_set_name& name,
                                                  const work_class& work) const {
    const replica_set* set = set_of(name);
    if (set == nullptr)
        return std::nullopt;
    const time_point now = timers_.now();
    std::uint32_t parallel = 0;
    auto ahead = static_cast<std::uint32_t>(set->waiting_in_time(now));
    for (const upstream* server : reachable_servers(*set, {})) {
        parallel +=
            std::min(std::max(1U, server->limits().slots), std::max(1U, server->limits().max_connections));
        ahead += server->in_flight();
    }
    if (parallel == 0)
        return std::nullopt;
    const duration each = latency_quantile(work, usual_reply).value_or(duration{0});
    return each * (ahead / parallel + 1);
}

bool dispatcher::answers_within(const replica_set_name& name, const work_class& work,
                                duration time_left) const {
    if (!latency_quantile(work, usual_reply))
        return false;
    const auto wait = expected_wait(name, work);
    return wait && *wait <= time_left;
}

duration dispatcher::rate_wait(const replica_set_name& name, std::span<const upstream_id> excluded) const {
    const replica_set* set = set_of(name);
    if (set == nullptr)
        return duration{0};
    const time_point now = timers_.now();
    std::vector<const rate_limit*> rates;
    for (const upstream* server : reachable_servers(*set, excluded)) {
        if (!server->rate().stated())
            return duration{0};
        rates.push_back(&server->rate());
    }
    return time_to_send(rates, now, set->waiting_in_time(now) + 1);
}

std::optional<duration> dispatcher::pause_wait(const replica_set_name& name) const {
    const replica_set* set = set_of(name);
    if (set == nullptr)
        return std::nullopt;
    const time_point now = timers_.now();
    std::optional<duration> first;
    for (const upstream_id& id : set->members) {
        const upstream* server = find(id);
        const auto condition = server == nullptr ? upstream_condition::leaving : server->condition(now);
        if (takes_requests(condition))
            return std::nullopt;
        if (condition == upstream_condition::paused)
            first = std::min(first.value_or(duration::max()), server->paused_until() - now);
    }
    return first;
}

void dispatcher::dispatch_waiting_for(const upstream_id& id) {
    const auto it = sets_of_.find(id);
    if (it == sets_of_.end())
        return;
    const auto names = it->second;
    for (const replica_set_name& name : names)
        dispatch_waiting(name);
}

void dispatcher::dispatch_waiting(const replica_set_name& name) {
    replica_set& set = sets_.at(name);
    std::vector<waiting_attempt> in_sending_order{set.waiting.begin(), set.waiting.end()};
    std::stable_partition(in_sending_order.begin(), in_sending_order.end(),
                          [now = timers_.now()](const waiting_attempt& it) { return !it.is_too_late(now); });
    for (const waiting_attempt& it : in_sending_order) {
        if (room_at(set, {}, placement_purpose::first) != availability::immediate)
            break;
        if (!set.waiting.contains(it))
            continue; // Already sent: a connection that fails immediately calls this function recursively.
        const auto server = choose_server(attempts_.at(it.id).request);
        if (!server)
            continue;
        set.waiting.erase(it);
        transmit(it.id, *server);
    }
    fail_unservable(set);
    arm_rate_check(name);
}

void dispatcher::arm_rate_check(const replica_set_name& name) {
    if (const auto pending = rate_checks_.extract(name); !pending.empty())
        timers_.cancel(pending.mapped());
    const replica_set& set = sets_.at(name);
    if (set.waiting.empty())
        return;
    const time_point now = timers_.now();
    std::optional<duration> next;
    for (const upstream_id& id : set.members) {
        const upstream* server = find(id);
        if (server != nullptr && !server->rate().may_send(now))
            next = std::min(next.value_or(duration::max()), server->rate().time_until(now, 1));
    }
    if (!next)
        return;
    // One that has become too late for its target is overtaken by later ones: it is given up at once.
    constexpr duration clock_step{1};
    const duration too_late_in = set.waiting.begin()->latest_start - now + clock_step;
    if (too_late_in.count() > 0)
        next = std::min(*next, too_late_in);
    rate_checks_[name] = timers_.schedule_after(*next, [this, name] {
        rate_checks_.erase(name);
        dispatch_waiting(name);
    });
}

void dispatcher::fail_unservable(replica_set& set) {
    if (set.waiting.empty())
        return;
    std::vector<std::pair<attempt_id, attempt_error>> unservable;
    // The same for all attempts that may go to any server; a queue can be long.
    const availability usual_room = room_at(set, {}, placement_purpose::first);
    for (const waiting_attempt& it : set.waiting) {
        const attempt_request& request = attempts_.at(it.id).request;
        const bool is_usual = request.excluded.empty() && request.purpose != placement_purpose::hedge;
        const availability room = is_usual ? usual_room : room_at(set, request.excluded, request.purpose);
        if (room == availability::none)
            unservable.emplace_back(it.id, attempt_error::not_sent);
        else if (it.is_too_late(timers_.now()) && rate_wait(request.set, request.excluded).count() > 0)
            unservable.emplace_back(it.id, attempt_error::rate_limited);
    }
    for (const auto& [id, error] : unservable) {
        set.waiting.erase(attempts_.at(id).place);
        // Reported on the next turn of the event loop: the requester may be in the middle of a decision now.
        timers_.schedule_after(duration{0}, [this, id = id, error = error] {
            finish(id, send_state::not_connected, tl::unexpected{attempt_failure{error, {}}});
        });
    }
}

} // namespace pollengrade
