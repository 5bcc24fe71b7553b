/** @file dispatcher.cpp Sending within limits, and what results say of servers. */
#include "core/upstreams/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace pollengrade {

namespace {

constexpr duration connect_limit = std::chrono::seconds{1}; ///< then a connection counts as failed
constexpr duration silence_check_period = std::chrono::milliseconds{50}; ///< while requests are in flight
constexpr duration unknown_usual =
    std::chrono::milliseconds{100}; ///< limit of a usual reply before any is known
constexpr double usual_quantile =
    0.9; ///< of good replies: with servers that pause, a later one still counts them
constexpr duration unused_time = std::chrono::seconds{3}; ///< after which a connection not kept is closed
constexpr duration unused_check_period = std::chrono::seconds{1}; ///< between two looks for such connections
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
    if (!limits.keep_open && !unused_check_)
        unused_check_ = timers_.schedule_after(unused_check_period, [this] { close_unused(); });
}

void dispatcher::close_unused() {
    unused_check_.reset();
    const time_point limit = timers_.now() - unused_time;
    bool any = false;
    for (auto& [id, server] : upstreams_) {
        if (server.limits().keep_open)
            continue;
        any = true;
        for (const connection_id it : server.unused_since(limit))
            drop_connection(server, it);
    }
    if (any)
        unused_check_ = timers_.schedule_after(unused_check_period, [this] { close_unused(); });
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
    if (it == profiles_.end() || !it->second.is_settled())
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

void dispatcher::connect(upstream& server) {
    const connection_id id{next_connection_++};
    const time_point now = timers_.now();
    server.on_connecting(id, now);
    owners_[id] = server.id();
    ++counts_.counter("connections_opened");
    connect_limits_[id] = timers_.schedule_after(connect_limit, [this, id] {
        connect_limits_.erase(id);
        hooks_.close(id);
        on_connection_ended(id, connection_end::silent, send_state::not_connected);
    });
    if (!hooks_.open(id, server.address()))
        on_connection_ended(id, connection_end::reset, send_state::not_connected);
}

void dispatcher::connect_for(const attempt_request& request) {
    const replica_set* set = set_of(request.set);
    const time_point now = timers_.now();
    upstream* best = nullptr;
    for (const upstream_id& id : set->members) {
        upstream* server = at(id);
        if (server == nullptr || server->condition(now) != upstream_condition::ready)
            continue;
        if (server->is_connecting())
            return; // One is on its way.
        if (!server->may_connect(now))
            continue;
        const bool is_better = best == nullptr || server->open_connections() < best->open_connections() ||
                               (server->identity().domain == domain_ && best->identity().domain != domain_);
        if (is_better)
            best = server;
    }
    if (best != nullptr)
        connect(*best);
}

void dispatcher::keep_connected(const upstream_id& id) {
    upstream* server = at(id);
    if (server == nullptr || server->is_leaving() || server->is_connecting() || reconnects_.contains(id) ||
        !server->limits().keep_open)
        return;
    const time_point now = timers_.now();
    const bool has_one =
        server->open_connections() > 0 && server->condition(now) != upstream_condition::silent;
    if (has_one)
        return;
    if (server->may_connect(now)) {
        connect(*server);
        return;
    }
    const time_point when = std::max(server->standing().connect_after(), now + silence_check_period);
    reconnects_[id] = timers_.schedule_at(when, [this, id] {
        reconnects_.erase(id);
        keep_connected(id);
    });
}

void dispatcher::drop_connection(upstream& server, connection_id id) {
    server.on_connection_gone(id);
    owners_.erase(id);
    hooks_.close(id);
}

void dispatcher::on_connected(connection_id id) {
    const auto owner = owners_.find(id);
    if (owner == owners_.end())
        return;
    if (const auto limit = connect_limits_.find(id); limit != connect_limits_.end()) {
        timers_.cancel(limit->second);
        connect_limits_.erase(limit);
    }
    const upstream_id server_id = owner->second;
    upstream& server = upstreams_.at(server_id);
    const time_point now = timers_.now();
    server.on_connected(id, now);
    // Requests on older connections may wait for an end that never comes: they are no sign any more.
    server.excuse_flights(now);
    if (server.standing().on_connected())
        log_.record(event_kind::upstream_reachable, {}, server_id.value(),
                    {{event_key::address, server.address().value()}});
    if (server.is_leaving()) {
        drop_connection(server, id);
        forget_if_done(server_id);
        return;
    }
    serve_sets_of(server_id);
}

void dispatcher::on_connect_failed(upstream& server, connection_end why) {
    ++counts_.counter("connects_failed", to_string(why));
    if (server.standing().on_connect_failed(timers_.now()))
        log_.record(event_kind::upstream_unreachable, {}, server.id().value(),
                    {{event_key::address, server.address().value()}, {event_key::cause, to_string(why)}});
}

void dispatcher::on_connection_ended(connection_id id, connection_end why, send_state state) {
    const auto owner = owners_.find(id);
    if (owner == owners_.end())
        return;
    const upstream_id server_id = owner->second;
    owners_.erase(owner);
    upstream& server = upstreams_.at(server_id);
    const bool was_connecting = state == send_state::not_connected;
    if (const auto limit = connect_limits_.find(id); limit != connect_limits_.end()) {
        timers_.cancel(limit->second);
        connect_limits_.erase(limit);
    }
    const request_in_flight* flight = server.flight_on(id);
    const std::optional<attempt_id> cut = flight == nullptr ? std::nullopt : std::optional{flight->attempt};
    // One that ends before it was of any use counts like one that never came about: a server that takes no
    // more connections ends them so. One that goes silent shows that nothing answers there any more.
    const bool is_useless = !cut && !server.has_served(id);
    server.on_connection_gone(id);
    ++counts_.counter("connections_ended", to_string(why));
    if (was_connecting || is_useless || why == connection_end::silent)
        on_connect_failed(server, why);
    if (cut) {
        const bool is_unsent = state == send_state::not_connected || state == send_state::nothing_written;
        attempt_error code = is_unsent ? attempt_error::not_sent : attempt_error::connection_lost;
        if (why == connection_end::unreadable)
            code = attempt_error::malformed;
        note_result(server, attempts_.at(*cut), tl::unexpected{attempt_failure{code, {}}});
        keep_connected(server_id);
        serve_sets_of(server_id);
        finish(*cut, state, tl::unexpected{attempt_failure{code, {}}});
    } else {
        keep_connected(server_id);
        serve_sets_of(server_id);
    }
    forget_if_done(server_id);
}

void dispatcher::on_answered(connection_id id, attempt_result result, bool kept, duration idle_limit) {
    const auto owner = owners_.find(id);
    if (owner == owners_.end()) {
        ++counts_.counter("late_results_dropped");
        return;
    }
    const upstream_id server_id = owner->second;
    upstream& server = upstreams_.at(server_id);
    const request_in_flight* flight = server.flight_on(id);
    assert(flight != nullptr);
    const attempt_id answered = flight->attempt;
    note_result(server, attempts_.at(answered), result);
    // A reply to another request means that this connection's replies are out of step.
    const bool in_step = result || result.error().code != attempt_error::wrong_request;
    if (!kept || !in_step || server.is_leaving()) {
        if (kept)
            hooks_.close(id);
        else
            ++counts_.counter("connections_ended", to_string(connection_end::not_kept));
        owners_.erase(id);
        server.on_connection_gone(id);
        keep_connected(server_id);
    } else {
        server.on_answered(id, timers_.now(), idle_limit);
    }
    serve_sets_of(server_id);
    finish(answered, send_state::reply_begun, std::move(result));
    forget_if_done(server_id);
}

void dispatcher::finish(attempt_id id, send_state state, attempt_result result) {
    const auto node = attempts_.extract(id);
    if (node.empty())
        return;
    const attempt& it = node.mapped();
    if (it.give_up)
        timers_.cancel(*it.give_up);
    if (!it.done) {
        ++counts_.counter("late_results_dropped");
        return;
    }
    --wanted_;
    const duration took = it.server.value().empty() ? duration{0} : timers_.now() - it.sent_at;
    it.done({id, it.server, state, took, std::move(result)});
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

void dispatcher::note_result(upstream& server, const attempt& sent, const attempt_result& result) {
    const time_point now = timers_.now();
    const duration took = now - sent.sent_at;
    if (result) {
        constexpr double median = 0.5;
        constexpr unsigned least_server_error = 500;
        const auto* forwarded = std::get_if<forwarded_reply>(&*result);
        if (forwarded != nullptr && forwarded->message.status >= least_server_error) {
            note_failure(server, "server_error");
            return;
        }
        const bool was_doubtful = server.standing().is_doubtful(now);
        server.standing().on_reply(now, sent.sent_at, took,
                                   usual_time(sent.request.work, median).value_or(duration{0}));
        // What slow servers take is not what is usual.
        if (!server.standing().is_slow())
            profiles_[sent.request.work].add(took);
        if (server.standing().is_doubtful(now) != was_doubtful) {
            log_.record(was_doubtful ? event_kind::upstream_cleared : event_kind::upstream_suspected, {},
                        server.id().value(), {{event_key::cause, "slow"}, {event_key::took_ms, took}});
        }
        if (const auto* own = std::get_if<shard_reply>(&*result)) {
            server.mark_live(own->server_incarnation);
            if (own->server_draining)
                note_leaving(server.id(), own->server_incarnation);
        }
        return;
    }
    const attempt_failure& failure = result.error();
    ++counts_.counter("attempt_failures", to_string(failure.code));
    switch (failure.code) {
    case attempt_error::shed:
        server.standing().on_shed(now, failure.retry_after);
        break;
    case attempt_error::draining:
    case attempt_error::wrong_server: // Its address is another's now; the entry that says otherwise is old.
        note_leaving(server.id(), server.incarnation());
        break;
    case attempt_error::not_sent:
    case attempt_error::version_absent:
    case attempt_error::refused:
    case attempt_error::cancelled:
        break;
    default:
        note_failure(server, to_string(failure.code));
        break;
    }
}

void dispatcher::note_failure(upstream& server, std::string_view cause) {
    const time_point now = timers_.now();
    const bool was_doubtful = server.standing().is_doubtful(now);
    server.standing().on_failure(now);
    if (!was_doubtful && server.standing().is_doubtful(now))
        log_.record(event_kind::upstream_suspected, {}, server.id().value(), {{event_key::cause, cause}});
}

void dispatcher::arm_silence_check() {
    if (!silence_check_)
        silence_check_ = timers_.schedule_after(silence_check_period, [this] { look_for_silence(); });
}

void dispatcher::look_for_silence() {
    silence_check_.reset();
    const time_point now = timers_.now();
    bool any_flights = false;
    std::vector<std::pair<upstream_id, std::vector<request_in_flight>>> silent;
    for (auto& [id, server] : upstreams_) {
        any_flights = any_flights || server.in_flight() > 0;
        if (auto flights = server.take_silent_flights(now); !flights.empty())
            silent.emplace_back(id, std::move(flights));
    }
    for (const auto& [id, flights] : silent)
        test_silent_server(id, flights);
    if (any_flights)
        arm_silence_check();
}

void dispatcher::test_silent_server(const upstream_id& id, std::span<const request_in_flight> flights) {
    upstream* server = at(id);
    if (server == nullptr)
        return;
    note_failure(*server, "silent");
    // Its other connections may have gone silent with this one: a new one tells.
    for (const connection_id it : server->idle_connections())
        drop_connection(*server, it);
    const bool has_room = server->may_connect(timers_.now());
    for (const request_in_flight& it : flights) {
        const auto found = attempts_.find(it.attempt);
        const bool is_wanted = found != attempts_.end() && found->second.done;
        if (!is_wanted && !has_room)
            abort_attempt(it.attempt); // May be the last that was known of a leaving server.
    }
    keep_connected(id);
}

void dispatcher::forget_if_done(const upstream_id& id) {
    const auto it = upstreams_.find(id);
    if (it == upstreams_.end() || sets_of_.contains(id) || !it->second.is_leaving())
        return;
    if (it->second.in_flight() > 0 || it->second.open_connections() > 0 || it->second.is_connecting())
        return;
    log_.record(event_kind::upstream_removed, {}, id.value());
    if (const auto pending = reconnects_.find(id); pending != reconnects_.end()) {
        timers_.cancel(pending->second);
        reconnects_.erase(pending);
    }
    upstreams_.erase(it);
}

} // namespace pollengrade
