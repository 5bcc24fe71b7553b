/** @file dispatcher_connections.cpp Opens, keeps and closes the dispatcher's connections. */
#include "core/upstreams/dispatcher.h"

#include <algorithm>

namespace pollengrade {

namespace {

/** Time after which an attempt to connect has failed. */
constexpr duration connect_timeout = std::chrono::seconds{1};
/** Minimum delay before another attempt to connect. */
constexpr duration min_reconnect_delay = std::chrono::milliseconds{50};
/** Time after which an unused connection that was opened on demand is closed. */
constexpr duration unused_timeout = std::chrono::seconds{3};
/** Interval between checks for unused connections. */
constexpr duration unused_check_period = std::chrono::seconds{1};

} // namespace

void dispatcher::close_unused() {
    unused_check_.reset();
    const time_point limit = timers_.now() - unused_timeout;
    bool any = false;
    for (auto& [id, server] : upstreams_) {
        if (server.limits().keep_open)
            continue;
        any = true;
        for (const connection_id it : server.unused_since(limit))
            drop_connection(server, it);
    }
    if (any)
        arm_unused_check();
}

void dispatcher::arm_unused_check() {
    if (!unused_check_)
        unused_check_ = timers_.schedule_after(unused_check_period, [this] { close_unused(); });
}

void dispatcher::connect(upstream& server) {
    const connection_id id{next_connection_++};
    const time_point now = timers_.now();
    server.on_connecting(id, now);
    owners_[id] = server.id();
    ++counts_.counter("connections_opened");
    connect_timeouts_[id] = timers_.schedule_after(connect_timeout, [this, id] {
        connect_timeouts_.erase(id);
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
            return; // A connection is already being opened.
        if (!server->may_connect(now) || !server->rate().may_send(now))
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
    const bool has_connection =
        server->open_connections() > 0 && server->condition(now) != upstream_condition::unresponsive;
    if (has_connection)
        return;
    if (server->may_connect(now)) {
        connect(*server);
        return;
    }
    const time_point when = std::max(server->health().connect_after(), now + min_reconnect_delay);
    reconnects_[id] = timers_.schedule_at(when, [this, id] {
        reconnects_.erase(id);
        keep_connected(id);
    });
}

upstream_id dispatcher::server_at(connection_id id) const {
    const auto owner = owners_.find(id);
    return owner == owners_.end() ? upstream_id{} : owner->second;
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
    if (const auto timeout = connect_timeouts_.find(id); timeout != connect_timeouts_.end()) {
        timers_.cancel(timeout->second);
        connect_timeouts_.erase(timeout);
    }
    const upstream_id server_id = owner->second;
    upstream& server = upstreams_.at(server_id);
    const time_point now = timers_.now();
    server.on_connected(id, now);
    // Older connections may be dead without ever reporting an end, so requests on them no longer count
    // against the server.
    server.ignore_earlier_requests(now);
    if (server.health().on_connected())
        log_.record(event_kind::upstream_reachable, {}, server_id.value(),
                    {{event_key::address, server.address().value()}});
    if (server.is_leaving()) {
        drop_connection(server, id);
        remove_if_drained(server_id);
        return;
    }
    dispatch_waiting_for(server_id);
}

void dispatcher::on_connect_failed(upstream& server, connection_end why) {
    ++counts_.counter("connects_failed", to_string(why));
    if (server.health().on_connect_failed(timers_.now()))
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
    if (const auto timeout = connect_timeouts_.find(id); timeout != connect_timeouts_.end()) {
        timers_.cancel(timeout->second);
        connect_timeouts_.erase(timeout);
    }
    const request_in_flight* request = server.request_on(id);
    const std::optional<attempt_id> interrupted =
        request == nullptr ? std::nullopt : std::optional{request->attempt};
    // A connection that ends idle before it has carried a reply counts as a failed attempt to connect:
    // servers that accept no more connections close new ones in this way. So does a connection that ended as
    // silent, because nothing answers at the address any more.
    const bool was_unused = !interrupted && !server.has_served(id);
    server.on_connection_gone(id);
    ++counts_.counter("connections_ended", to_string(why));
    if (was_connecting || was_unused || why == connection_end::silent)
        on_connect_failed(server, why);
    if (interrupted) {
        const bool is_unsent = state == send_state::not_connected || state == send_state::nothing_written;
        attempt_error code = is_unsent ? attempt_error::not_sent : attempt_error::connection_lost;
        if (why == connection_end::unreadable)
            code = attempt_error::malformed;
        else if (why == connection_end::over_memory)
            code = attempt_error::oversized;
        note_result(server, attempts_.at(*interrupted), tl::unexpected{attempt_failure{code, {}}});
        keep_connected(server_id);
        dispatch_waiting_for(server_id);
        finish(*interrupted, state, tl::unexpected{attempt_failure{code, {}}});
    } else {
        keep_connected(server_id);
        dispatch_waiting_for(server_id);
    }
    remove_if_drained(server_id);
}

void dispatcher::remove_if_drained(const upstream_id& id) {
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
