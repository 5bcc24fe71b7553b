/** @file dispatcher_results.cpp What replies, failures and silence say of servers. */
#include "core/upstreams/dispatcher.h"

#include <cassert>
#include <utility>

namespace pollengrade {

namespace {

constexpr duration silence_check_period = std::chrono::milliseconds{50}; ///< while requests are in flight

} // namespace

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

} // namespace pollengrade
