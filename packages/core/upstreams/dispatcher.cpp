/** @file dispatcher.cpp Servers, the selection among them, and attempts from submission to cancellation. */
#include "core/upstreams/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollengrade {

namespace {

/** Usual latency assumed while too few replies are known. */
constexpr duration default_usual_latency = std::chrono::milliseconds{100};
/** Quantile of good replies; a higher one would include the pauses of servers that pause. */
constexpr double usual_latency_quantile = 0.9;
/** Wait for a cancelled request to end, in addition to its remaining time. */
constexpr duration abort_margin = std::chrono::milliseconds{200};
/** Longest wait for a cancelled request to end, without the margin. */
constexpr duration max_abort_delay = std::chrono::seconds{1};

/** @return whether a hedge may go to a server; one that limits its load keeps its requests for first
 * attempts. */
bool accepts_hedges(const upstream& server, time_point now) {
    return server.condition(now) == upstream_condition::ready && !server.rate().stated();
}

} // namespace

dispatcher::dispatcher(timer_queue& timers, event_log& log, metrics& counts,
                       std::function<std::uint64_t()> random, failure_domain domain, transport_hooks hooks)
    : timers_{timers}, log_{log}, counts_{counts}, random_{std::move(random)}, domain_{std::move(domain)},
      hooks_{std::move(hooks)} {}

upstream* dispatcher::at(const upstream_id& id) {
    const auto it = upstreams_.find(id);
    return it == upstreams_.end() ? nullptr : &it->second;
}

const upstream* dispatcher::find(const upstream_id& id) const {
    const auto it = upstreams_.find(id);
    return it == upstreams_.end() ? nullptr : &it->second;
}

const replica_set* dispatcher::set_of(const replica_set_name& name) const {
    const auto it = sets_.find(name);
    return it == sets_.end() ? nullptr : &it->second;
}

void dispatcher::put_server(const upstream_identity& identity, upstream_limits limits) {
    const auto [it, is_new] = upstreams_.try_emplace(identity.id, identity, limits);
    it->second.set_limits(limits);
    it->second.rate().set_sharing_nodes(timers_.now(), limits.sharing_nodes);
    // An entry may come back, from a store or a peer that does not know yet, after the server was removed.
    if (is_new) {
        log_.record(event_kind::upstream_added, {}, identity.id.value(),
                    {{event_key::address, identity.address.value()},
                     {event_key::domain, identity.domain.value()},
                     {event_key::connections, limits.max_connections}});
        // An entry may come back, from a store or a peer that does not know yet, after the server was
        // removed.
        if (departures_.contains(identity.id))
            note_leaving(identity.id, {},
                         {leaving_source::reply, {}, timers_.now() - departures_.stated_at(identity.id)});
        keep_connected(identity.id);
    } else {
        keep_connected(identity.id);
        dispatch_waiting_for(identity.id);
    }
    if (!limits.keep_open)
        arm_unused_check();
}

void dispatcher::note_departed(std::span<const departed_server> servers) {
    const time_point now = timers_.now();
    for (const departed_server& it : servers) {
        if (!departures_.contains(it.id))
            ++counts_.counter("departures_from_nodes");
        departures_.note(it.id, now, now - it.age);
        if (const upstream* server = find(it.id))
            note_leaving(it.id, server->incarnation(), {leaving_source::other_node, {}, it.age});
    }
}

void dispatcher::remove_server(const upstream_id& id) {
    upstream* server = at(id);
    if (server == nullptr)
        return;
    departures_.on_removed(id, timers_.now());
    note_leaving(id, server->incarnation(), {leaving_source::removal});
    for (const replica_set_name& name : sets_of_[id])
        std::erase(sets_.at(name).members, id);
    sets_of_.erase(id);
    remove_if_drained(id);
}

void dispatcher::set_members(const replica_set_name& name, std::vector<upstream_id> members,
                             queue_limits limits) {
    replica_set& set = sets_[name];
    for (const upstream_id& it : set.members)
        std::erase(sets_of_[it], name);
    for (const upstream_id& it : members)
        sets_of_[it].push_back(name);
    set.members = std::move(members);
    set.limits = limits;
    dispatch_waiting(name);
}

void dispatcher::note_leaving(const upstream_id& id, std::string_view incarnation,
                              const leaving_report& report) {
    upstream* server = at(id);
    if (server == nullptr || !server->mark_leaving(incarnation))
        return;
    log_.record(event_kind::upstream_draining, report.request, id.value(),
                {{event_key::cause, to_string(report.source)},
                 {event_key::age_ms, report.age},
                 {event_key::in_flight, server->in_flight()}});
    for (const connection_id it : server->idle_connections())
        drop_connection(*server, it);
    const auto names = sets_of_[id];
    for (const replica_set_name& name : names)
        dispatch_waiting(name);
}

void dispatcher::note_live(const upstream_id& id, std::string_view incarnation) {
    upstream* server = at(id);
    if (server != nullptr && server->mark_live(incarnation))
        keep_connected(id);
}

duration dispatcher::usual_latency(const work_class& work) const {
    return latency_quantile(work, usual_latency_quantile).value_or(default_usual_latency);
}

std::optional<duration> dispatcher::latency_quantile(const work_class& work, double quantile) const {
    const auto it = profiles_.find(work);
    if (it == profiles_.end() || !it->second.has_enough_samples())
        return std::nullopt;
    return it->second.quantile(quantile);
}

availability dispatcher::availability_of(const replica_set_name& name, std::span<const upstream_id> excluded,
                                         placement_purpose purpose) const {
    const replica_set* set = set_of(name);
    if (set == nullptr)
        return availability::none;
    const availability room = room_at(*set, excluded, purpose);
    if (room != availability::waiting)
        return room;
    const std::size_t waiting = set->waiting_in_time(timers_.now());
    if (waiting < set->limits.any * set->members.size())
        return availability::waiting;
    return waiting < set->limits.in_time * set->members.size() ? availability::crowded : availability::full;
}

availability dispatcher::room_at(const replica_set& set, std::span<const upstream_id> excluded,
                                 placement_purpose purpose) const {
    const time_point now = timers_.now();
    bool any = false;
    for (const upstream_id& id : set.members) {
        const upstream* server = find(id);
        if (server == nullptr || std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        if (!takes_requests(server->condition(now)))
            continue;
        if (purpose == placement_purpose::hedge && !accepts_hedges(*server, now))
            continue;
        if (server->connection_for_request(now))
            return availability::immediate;
        // A server with an open connection, or that is not known to be unreachable, will have room.
        any = any || server->open_connections() > 0 || !server->health().is_unreachable();
    }
    return any && purpose != placement_purpose::hedge ? availability::waiting : availability::none;
}

std::optional<upstream_id> dispatcher::choose_server(const attempt_request& request) {
    const replica_set* set = set_of(request.set);
    if (set == nullptr)
        return std::nullopt;
    const time_point now = timers_.now();
    std::vector<const upstream*> servers;
    std::vector<placement_candidate> candidates;
    bool ready_expected = false;
    for (const upstream_id& id : set->members) {
        const upstream* server = find(id);
        if (server == nullptr ||
            std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end())
            continue;
        const upstream_condition condition = server->condition(now);
        if (!takes_requests(condition))
            continue;
        if (request.purpose == placement_purpose::hedge && !accepts_hedges(*server, now))
            continue;
        const bool is_ready = condition == upstream_condition::ready;
        if (!server->connection_for_request(now)) {
            ready_expected = ready_expected || (is_ready && server->rate().may_send(now) &&
                                                (server->is_connecting() || server->open_connections() > 0));
            continue;
        }
        servers.push_back(server);
        candidates.push_back({is_ready, server->is_trial_due(now),
                              !domain_.value().empty() && server->identity().domain == domain_,
                              server->in_flight(), server->limits().slots, server->health().slowness()});
    }
    const auto picked = place(candidates, request.purpose, random_);
    if (!picked)
        return std::nullopt;
    const placement_candidate& best = candidates[*picked];
    // A short wait for a ready server is better than the reply of a degraded one.
    if (!best.is_ready && !best.is_trial_due && ready_expected)
        return std::nullopt;
    return servers[*picked]->id();
}

attempt_id dispatcher::submit(attempt_request request, completion done) {
    const attempt_id id{next_attempt_++};
    ++live_attempts_;
    const auto server = choose_server(request);
    attempt& it =
        attempts_.emplace(id, attempt{std::move(request), std::move(done), {}, {}, {}, {}, {}}).first->second;
    if (server) {
        transmit(id, *server);
        return id;
    }
    const duration reply = latency_quantile(it.request.work, usual_latency_quantile).value_or(duration{0});
    it.place = {it.request.priority, it.request.target - reply, id};
    sets_[it.request.set].waiting.insert(it.place);
    connect_for(it.request);
    arm_rate_check(it.request.set);
    return id;
}

void dispatcher::transmit(attempt_id id, const upstream_id& server_id) {
    attempt& it = attempts_.at(id);
    upstream& server = upstreams_.at(server_id);
    const time_point now = timers_.now();
    if (server.is_trial_due(now)) {
        server.health().on_trial(now);
        ++counts_.counter("trials_sent");
    }
    it.server = server_id;
    it.connection = server.idle_connection(now).value();
    it.sent_at = now;
    server.on_sent(id, it.connection, now, usual_latency(it.request.work));
    ++counts_.counter("attempts_sent");
    if (server.rate().stated())
        ++counts_.counter("attempts_to_limited", to_string(it.request.purpose));
    hooks_.send(it.connection, server.identity(), it.request);
    // Open a connection ahead of the next request.
    if (server.limits().keep_open && !server.idle_connection(now) && !server.is_connecting() &&
        server.may_connect(now))
        connect(server);
    arm_response_check();
}

void dispatcher::cancel(attempt_id id, cancel_reason why) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end() || !found->second.done)
        return;
    attempt& it = found->second;
    it.done = nullptr;
    --live_attempts_;
    if (it.server.value().empty()) {
        sets_.at(it.request.set).waiting.erase(it.place);
        attempts_.erase(found);
        return;
    }
    if (why == cancel_reason::caller_gone) {
        abort_attempt(id);
        return;
    }
    const duration left = std::clamp(it.request.deadline - timers_.now(), duration{0}, max_abort_delay);
    it.abort_timer = timers_.schedule_after(left + abort_margin, [this, id, server_id = it.server] {
        attempts_.at(id).abort_timer.reset();
        if (upstream* server = at(server_id))
            note_failure(*server, "no_reply");
        abort_attempt(id);
    });
}

void dispatcher::abort_attempt(attempt_id id) {
    const auto node = attempts_.extract(id);
    if (node.empty())
        return;
    const attempt& it = node.mapped();
    assert(!it.done && !it.server.value().empty());
    if (it.abort_timer)
        timers_.cancel(*it.abort_timer);
    ++counts_.counter("attempts_aborted");
    upstream* server = at(it.server);
    if (server == nullptr || !owners_.contains(it.connection))
        return;
    drop_connection(*server, it.connection);
    keep_connected(it.server);
    dispatch_waiting_for(it.server);
    remove_if_drained(it.server);
}

std::optional<upstream_id> dispatcher::server_of(attempt_id id) const {
    const auto it = attempts_.find(id);
    if (it == attempts_.end() || it->second.server.value().empty())
        return std::nullopt;
    return it->second.server;
}

bool dispatcher::is_reply_awaited(connection_id id) const {
    const auto owner = owners_.find(id);
    if (owner == owners_.end())
        return false;
    const request_in_flight* request = upstreams_.at(owner->second).request_on(id);
    return request != nullptr && attempts_.at(request->attempt).done != nullptr;
}

} // namespace pollengrade
