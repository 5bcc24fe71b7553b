/** @file dispatcher.cpp Servers, the choice among them, and attempts from submission to withdrawal. */
#include "core/upstreams/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollengrade {

namespace {

constexpr duration unknown_usual =
    std::chrono::milliseconds{100}; ///< limit of a usual reply before any is known
constexpr double usual_quantile =
    0.9; ///< of good replies: with servers that pause, a later one still counts them
constexpr duration give_up_margin =
    std::chrono::milliseconds{200};                           ///< past the deadline, for a withdrawn request
constexpr duration longest_give_up = std::chrono::seconds{1}; ///< for a withdrawn request's end

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
    if (is_new) {
        log_.record(event_kind::upstream_added, {}, identity.id.value(),
                    {{event_key::address, identity.address.value()},
                     {event_key::domain, identity.domain.value()},
                     {event_key::connections, limits.max_connections}});
        keep_connected(identity.id);
    } else {
        keep_connected(identity.id);
        serve_sets_of(identity.id);
    }
    if (!limits.keep_open)
        arm_unused_check();
}

void dispatcher::remove_server(const upstream_id& id) {
    upstream* server = at(id);
    if (server == nullptr)
        return;
    note_leaving(id, server->incarnation());
    for (const replica_set_name& name : sets_of_[id])
        std::erase(sets_.at(name).members, id);
    sets_of_.erase(id);
    forget_if_done(id);
}

void dispatcher::set_members(const replica_set_name& name, std::vector<upstream_id> members,
                             std::uint32_t max_waiting) {
    replica_set& set = sets_[name];
    for (const upstream_id& it : set.members)
        std::erase(sets_of_[it], name);
    for (const upstream_id& it : members)
        sets_of_[it].push_back(name);
    set.members = std::move(members);
    set.max_waiting = max_waiting;
    serve_waiting(name);
}

void dispatcher::note_leaving(const upstream_id& id, std::string_view incarnation) {
    upstream* server = at(id);
    if (server == nullptr || !server->mark_leaving(incarnation))
        return;
    log_.record(event_kind::upstream_draining, {}, id.value(), {{event_key::in_flight, server->in_flight()}});
    for (const connection_id it : server->idle_connections())
        drop_connection(*server, it);
    const auto names = sets_of_[id];
    for (const replica_set_name& name : names)
        serve_waiting(name);
}

void dispatcher::note_live(const upstream_id& id, std::string_view incarnation) {
    upstream* server = at(id);
    if (server != nullptr && server->mark_live(incarnation))
        keep_connected(id);
}

duration dispatcher::usual_limit(const work_class& work) const {
    return usual_time(work, usual_quantile).value_or(unknown_usual);
}

std::optional<duration> dispatcher::usual_time(const work_class& work, double quantile) const {
    const auto it = profiles_.find(work);
    if (it == profiles_.end() || !it->second.has_enough_samples())
        return std::nullopt;
    return it->second.quantile(quantile);
}

outlook dispatcher::outlook_of(const replica_set_name& name, std::span<const upstream_id> excluded,
                               placement_purpose purpose) const {
    const replica_set* set = set_of(name);
    if (set == nullptr)
        return outlook::none;
    const time_point now = timers_.now();
    bool any = false;
    for (const upstream_id& id : set->members) {
        const upstream* server = find(id);
        if (server == nullptr || std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        const upstream_condition condition = server->condition(now);
        if (condition == upstream_condition::leaving || condition == upstream_condition::silent)
            continue;
        if (purpose == placement_purpose::hedge && condition != upstream_condition::ready)
            continue;
        if (server->idle_connection(now))
            return outlook::immediate;
        // A server that does not take connections is no hope; one that does will have room.
        any = any || server->open_connections() > 0 || !server->standing().is_unreachable();
    }
    if (!any || purpose == placement_purpose::hedge)
        return outlook::none;
    return set->waiting.size() < set->max_waiting * set->members.size() ? outlook::waiting : outlook::full;
}

std::optional<duration> dispatcher::expected_wait(const replica_set_name& name,
                                                  const work_class& work) const {
    const replica_set* set = set_of(name);
    if (set == nullptr)
        return std::nullopt;
    const time_point now = timers_.now();
    std::uint32_t parallel = 0;
    auto ahead = static_cast<std::uint32_t>(set->waiting.size());
    for (const upstream_id& id : set->members) {
        const upstream* server = find(id);
        if (server == nullptr)
            continue;
        const upstream_condition condition = server->condition(now);
        if (condition == upstream_condition::leaving || condition == upstream_condition::silent)
            continue;
        if (server->open_connections() == 0 && server->standing().is_unreachable())
            continue;
        parallel +=
            std::min(std::max(1U, server->limits().slots), std::max(1U, server->limits().max_connections));
        ahead += server->in_flight();
    }
    if (parallel == 0)
        return std::nullopt;
    constexpr double median = 0.5;
    const duration each = usual_time(work, median).value_or(duration{0});
    return each * (ahead / parallel + 1);
}

std::optional<upstream_id> dispatcher::choose(const attempt_request& request) {
    const replica_set* set = set_of(request.set);
    if (set == nullptr)
        return std::nullopt;
    const time_point now = timers_.now();
    std::vector<const upstream*> servers;
    std::vector<placement_candidate> candidates;
    bool ready_soon = false;
    for (const upstream_id& id : set->members) {
        const upstream* server = find(id);
        if (server == nullptr ||
            std::find(request.excluded.begin(), request.excluded.end(), id) != request.excluded.end())
            continue;
        const upstream_condition condition = server->condition(now);
        if (condition == upstream_condition::leaving || condition == upstream_condition::silent)
            continue;
        const bool is_ready = condition == upstream_condition::ready;
        if (!server->idle_connection(now)) {
            ready_soon =
                ready_soon || (is_ready && (server->is_connecting() || server->open_connections() > 0));
            continue;
        }
        servers.push_back(server);
        candidates.push_back({is_ready, server->is_trial_due(now),
                              !domain_.value().empty() && server->identity().domain == domain_,
                              server->in_flight(), server->limits().slots, server->standing().slowness()});
    }
    const auto picked = place(candidates, request.purpose, random_);
    if (!picked)
        return std::nullopt;
    const placement_candidate& best = candidates[*picked];
    // Rather wait a little for a ready server than for a doubtful one's reply.
    if (!best.is_ready && !best.is_trial_due && ready_soon)
        return std::nullopt;
    return servers[*picked]->id();
}

attempt_id dispatcher::submit(attempt_request request, completion done) {
    const attempt_id id{next_attempt_++};
    ++wanted_;
    const auto server = choose(request);
    attempt& it =
        attempts_.emplace(id, attempt{std::move(request), std::move(done), {}, {}, {}, {}}).first->second;
    if (server) {
        transmit(id, *server);
        return id;
    }
    sets_[it.request.set].waiting.insert({it.request.priority, it.request.deadline, id});
    connect_for(it.request);
    return id;
}

void dispatcher::transmit(attempt_id id, const upstream_id& server_id) {
    attempt& it = attempts_.at(id);
    upstream& server = upstreams_.at(server_id);
    const time_point now = timers_.now();
    if (server.is_trial_due(now)) {
        server.standing().on_trial(now);
        ++counts_.counter("trials_sent");
    }
    it.server = server_id;
    it.connection = server.idle_connection(now).value();
    it.sent_at = now;
    server.on_sent(id, it.connection, now, usual_limit(it.request.work));
    ++counts_.counter("attempts_sent");
    hooks_.send(it.connection, server.identity(), it.request);
    // Keep a connection at hand for the next request.
    if (server.limits().keep_open && !server.idle_connection(now) && !server.is_connecting() &&
        server.may_connect(now))
        connect(server);
    arm_silence_check();
}

void dispatcher::serve_sets_of(const upstream_id& id) {
    const auto it = sets_of_.find(id);
    if (it == sets_of_.end())
        return;
    const auto names = it->second;
    for (const replica_set_name& name : names)
        serve_waiting(name);
}

void dispatcher::serve_waiting(const replica_set_name& name) {
    replica_set& set = sets_.at(name);
    std::vector<waiting_attempt> in_order{set.waiting.begin(), set.waiting.end()};
    for (const waiting_attempt& it : in_order) {
        if (!set.waiting.contains(it))
            continue; // Sent meanwhile: a connection that fails at once leads back here.
        const auto server = choose(attempts_.at(it.id).request);
        if (!server)
            continue;
        set.waiting.erase(it);
        transmit(it.id, *server);
    }
    fail_hopeless(set);
}

void dispatcher::fail_hopeless(replica_set& set) {
    std::vector<attempt_id> hopeless;
    for (const waiting_attempt& it : set.waiting) {
        const attempt_request& request = attempts_.at(it.id).request;
        if (outlook_of(request.set, request.excluded, request.purpose) == outlook::none)
            hopeless.push_back(it.id);
    }
    for (const attempt_id id : hopeless) {
        const attempt_request& request = attempts_.at(id).request;
        set.waiting.erase({request.priority, request.deadline, id});
        // Told at the loop's next turn: whoever waits may be in the midst of a decision now.
        timers_.schedule_after(duration{0}, [this, id] {
            finish(id, send_state::not_connected,
                   tl::unexpected{attempt_failure{attempt_error::not_sent, {}}});
        });
    }
}

void dispatcher::withdraw(attempt_id id, withdrawal why) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end() || !found->second.done)
        return;
    attempt& it = found->second;
    it.done = nullptr;
    --wanted_;
    if (it.server.value().empty()) {
        sets_.at(it.request.set).waiting.erase({it.request.priority, it.request.deadline, id});
        attempts_.erase(found);
        return;
    }
    if (why == withdrawal::caller_gone) {
        abort_attempt(id);
        return;
    }
    const duration left = std::clamp(it.request.deadline - timers_.now(), duration{0}, longest_give_up);
    it.give_up = timers_.schedule_after(left + give_up_margin, [this, id, server_id = it.server] {
        attempts_.at(id).give_up.reset();
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
    if (it.give_up)
        timers_.cancel(*it.give_up);
    ++counts_.counter("attempts_aborted");
    upstream* server = at(it.server);
    if (server == nullptr || !owners_.contains(it.connection))
        return;
    drop_connection(*server, it.connection);
    keep_connected(it.server);
    serve_sets_of(it.server);
    forget_if_done(it.server);
}

std::optional<upstream_id> dispatcher::server_of(attempt_id id) const {
    const auto it = attempts_.find(id);
    if (it == attempts_.end() || it->second.server.value().empty())
        return std::nullopt;
    return it->second.server;
}

bool dispatcher::is_wanted(connection_id id) const {
    const auto owner = owners_.find(id);
    if (owner == owners_.end())
        return false;
    const request_in_flight* flight = upstreams_.at(owner->second).flight_on(id);
    return flight != nullptr && attempts_.at(flight->attempt).done != nullptr;
}

} // namespace pollengrade
