/** @file dispatcher_results.cpp Updates the health of servers from replies, failures and missing replies. */
#include "core/upstreams/dispatcher.h"

#include <cassert>
#include <utility>

namespace pollengrade {

namespace {

/** After a pause, nodes wait for a random time up to this part of it, and up to this time. */
constexpr int resume_spread_part = 8;
constexpr duration max_resume_spread = std::chrono::milliseconds{500};
/** Interval of checks while requests are in flight. */
constexpr duration response_check_period = std::chrono::milliseconds{50};

} // namespace

void dispatcher::on_answered(connection_id id, attempt_result result, const reply_terms& terms) {
    const auto owner = owners_.find(id);
    if (owner == owners_.end()) {
        ++counts_.counter("late_results_dropped");
        return;
    }
    const upstream_id server_id = owner->second;
    upstream& server = upstreams_.at(server_id);
    server.on_reply();
    const request_in_flight* request = server.request_on(id);
    assert(request != nullptr);
    const attempt_id answered = request->attempt;
    note_rate(server, attempts_.at(answered), result, terms.rate);
    note_result(server, attempts_.at(answered), result);
    // Another server that uses the address now states this of itself.
    if (terms.is_leaving && (result || result.error().code != attempt_error::wrong_server))
        note_stated_leaving(server, attempts_.at(answered).request.request);
    note_pause(server, attempts_.at(answered), terms.pause);
    const bool kept = terms.keeps_connection;
    // A reply to another request means that requests and replies on this connection no longer match.
    const bool matches = result || result.error().code != attempt_error::wrong_request;
    if (!kept || !matches || server.is_leaving()) {
        if (kept)
            hooks_.close(id);
        else
            ++counts_.counter("connections_ended", to_string(connection_end::not_kept));
        owners_.erase(id);
        server.on_connection_gone(id);
        keep_connected(server_id);
    } else {
        server.on_answered(id, timers_.now(), terms.idle_timeout);
    }
    dispatch_waiting_for(server_id);
    finish(answered, send_state::reply_begun, std::move(result));
    remove_if_drained(server_id);
}

void dispatcher::finish(attempt_id id, send_state state, attempt_result result) {
    const auto node = attempts_.extract(id);
    if (node.empty())
        return;
    const attempt& it = node.mapped();
    if (it.abort_timer)
        timers_.cancel(*it.abort_timer);
    if (!it.done) {
        ++counts_.counter("late_results_dropped");
        return;
    }
    --live_attempts_;
    const duration took = it.server.value().empty() ? duration{0} : timers_.now() - it.sent_at;
    it.done({id, it.server, state, took, std::move(result)});
}

void dispatcher::note_result(upstream& server, const attempt& sent, const attempt_result& result) {
    const time_point now = timers_.now();
    const duration took = now - sent.sent_at;
    if (result) {
        constexpr double median = 0.5;
        const auto* forwarded = std::get_if<forwarded_reply>(&*result);
        if (forwarded != nullptr && is_server_error_status(forwarded->message.status)) {
            note_failure(server, "server_error");
            return;
        }
        const bool was_degraded = server.health().is_degraded(now);
        server.on_good_reply();
        server.health().on_reply(now, sent.sent_at, took,
                                 latency_quantile(sent.request.work, median).value_or(duration{0}));
        constexpr double fastest = 0.1;
        server.concurrency().on_reply(now, sent.sent_at, took,
                                      latency_quantile(sent.request.work, fastest).value_or(duration{0}),
                                      server.in_flight());
        // Reply times of slow servers would distort the latency statistics.
        if (!server.health().is_slow())
            profiles_[sent.request.work].add(took);
        if (server.health().is_degraded(now) != was_degraded) {
            log_.record(was_degraded ? event_kind::upstream_cleared : event_kind::upstream_suspected, {},
                        server.id().value(), {{event_key::cause, "slow"}, {event_key::took_ms, took}});
        }
        if (const auto* own = std::get_if<shard_reply>(&*result)) {
            server.mark_live(own->server_incarnation);
            if (own->server_draining)
                note_leaving(server.id(), own->server_incarnation,
                             {leaving_source::reply, sent.request.request});
        }
        return;
    }
    const attempt_failure& failure = result.error();
    ++counts_.counter("attempt_failures", to_string(failure.code));
    switch (failure.code) {
    case attempt_error::shed:
        server.health().on_shed(now, failure.retry_after);
        break;
    case attempt_error::draining:
        note_leaving(server.id(), server.incarnation(), {leaving_source::reply, sent.request.request});
        break;
    case attempt_error::wrong_server: // Another server uses the address now; the registry entry is outdated.
        note_leaving(server.id(), server.incarnation(), {leaving_source::wrong_server, sent.request.request});
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

void dispatcher::note_rate(upstream& server, const attempt& sent, const attempt_result& result,
                           const rate_statement& rate) {
    // These replies may come from another server that now uses the address, or belong to an earlier request.
    if (!result && (result.error().code == attempt_error::wrong_server ||
                    result.error().code == attempt_error::wrong_request))
        return;
    if (!rate.is_readable)
        ++counts_.counter("rate_limits_unreadable");
    constexpr std::uint64_t steps = 1024;
    const double first_tokens = static_cast<double>(random_() % steps) / steps;
    switch (server.rate().on_reply(timers_.now(), sent.sent_at, rate, first_tokens)) {
    case rate_change::none:
        break;
    case rate_change::stated:
        log_.record(event_kind::upstream_limited, {}, server.id().value(),
                    {{event_key::limit_per_s, *server.rate().stated()},
                     {event_key::share_per_s, server.rate().share()}});
        break;
    case rate_change::lifted:
        log_.record(event_kind::upstream_unlimited, {}, server.id().value());
        break;
    }
}

void dispatcher::note_stated_leaving(upstream& server, const request_id& request) {
    const time_point now = timers_.now();
    if (!server.identity().instance.empty())
        departures_.note(server.id(), now, now);
    if (!server.is_leaving())
        ++counts_.counter("servers_stated_leaving");
    note_leaving(server.id(), server.incarnation(), {leaving_source::reply, request});
}

void dispatcher::note_pause(upstream& server, const attempt& sent, const pause_statement& pause) {
    if (!pause.is_readable)
        ++counts_.counter("pauses_unreadable");
    if (pause.length.count() == 0)
        return;
    const time_point now = timers_.now();
    if (pause.length > max_pause_)
        ++counts_.counter("pauses_reduced");
    const duration length = std::min(pause.length, max_pause_);
    // Nodes do not all come back in the same instant.
    const duration spread = std::min(max_resume_spread, length / resume_spread_part);
    const auto late = static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(spread.count() + 1));
    server.pause(now, sent.sent_at, now + length + duration{late});
    ++counts_.counter("pauses_asked");
    log_.record(
        event_kind::upstream_paused, {}, server.id().value(),
        {{event_key::waited_ms, server.paused_until() - now}, {event_key::in_flight, server.in_flight()}});
    if (const auto pending = pause_ends_.extract(server.id()); !pending.empty())
        timers_.cancel(pending.mapped());
    pause_ends_[server.id()] = timers_.schedule_at(server.paused_until(), [this, id = server.id()] {
        pause_ends_.erase(id);
        dispatch_waiting_for(id);
    });
}

void dispatcher::note_failure(upstream& server, std::string_view cause) {
    const time_point now = timers_.now();
    const bool was_degraded = server.health().is_degraded(now);
    server.health().on_failure(now);
    if (!was_degraded && server.health().is_degraded(now))
        log_.record(event_kind::upstream_suspected, {}, server.id().value(), {{event_key::cause, cause}});
}

void dispatcher::arm_response_check() {
    if (!response_check_)
        response_check_ = timers_.schedule_after(response_check_period, [this] { check_unresponsive(); });
}

void dispatcher::check_unresponsive() {
    response_check_.reset();
    const time_point now = timers_.now();
    bool any_in_flight = false;
    std::vector<std::pair<upstream_id, std::vector<request_in_flight>>> unresponsive;
    for (auto& [id, server] : upstreams_) {
        any_in_flight = any_in_flight || server.in_flight() > 0;
        if (auto requests = server.take_unresponsive_requests(now); !requests.empty())
            unresponsive.emplace_back(id, std::move(requests));
    }
    for (const auto& [id, requests] : unresponsive)
        probe_unresponsive_server(id, requests);
    if (any_in_flight)
        arm_response_check();
}

void dispatcher::probe_unresponsive_server(const upstream_id& id,
                                           std::span<const request_in_flight> requests) {
    upstream* server = at(id);
    if (server == nullptr)
        return;
    note_failure(*server, "silent");
    // The server's other connections may be dead as well: a new connection shows whether it still answers.
    for (const connection_id it : server->idle_connections())
        drop_connection(*server, it);
    const bool has_room = server->may_connect(timers_.now());
    for (const request_in_flight& it : requests) {
        const auto found = attempts_.find(it.attempt);
        const bool is_reply_awaited = found != attempts_.end() && found->second.done;
        if (!is_reply_awaited && !has_room)
            abort_attempt(it.attempt); // May delete the server if it is leaving.
    }
    keep_connected(id);
}

} // namespace pollengrade
