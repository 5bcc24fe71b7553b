/** @file event_log.cpp Implementation of the event log. */
#include "core/base/event_log.h"

#include <algorithm>
#include <array>

namespace pollengrade {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(event_kind::count)> kind_names{
    "node_started",
    "node_ready",
    "node_stopping",
    "node_stopped",
    "settings_reloaded",
    "settings_rejected",
    "request_received",
    "request_refused",
    "request_ended",
    "request_abandoned",
    "snapshot_pinned",
    "query_planned",
    "query_replanned",
    "shard_hedged",
    "shard_retried",
    "shard_missing",
    "attempt_failed",
    "request_forwarded",
    "order_claimed",
    "order_sent",
    "order_recorded",
    "order_released",
    "upstream_added",
    "upstream_removed",
    "upstream_draining",
    "upstream_unreachable",
    "upstream_reachable",
    "upstream_suspected",
    "upstream_cleared",
    "upstream_limited",
    "upstream_unlimited",
    "upstream_paused",
    "reply_given_up",
    "connection_ended",
    "document_in_force",
    "shard_map_in_force",
    "routes_in_force",
    "routes_rejected",
    "registry_replaced",
    "registry_entry_left",
    "entries_unreadable",
    "store_confirmation_old",
    "store_watch_taken_over",
    "platform_unreachable",
    "platform_reachable",
    "platform_restored",
    "config_outdated",
    "member_joined",
    "member_left",
    "process_suspended",
    "lines_left_out"};

constexpr std::array<std::string_view, static_cast<std::size_t>(event_key::count)> key_names{
    "address",
    "age_ms",
    "all_bytes",
    "asked",
    "attempts",
    "cause",
    "code",
    "connections",
    "coverage",
    "deadline_ms",
    "domain",
    "era",
    "expected_wait_ms",
    "from",
    "hedges",
    "held_bytes",
    "in_flight",
    "in_time",
    "included",
    "kind",
    "least",
    "limit_bytes",
    "limit_per_s",
    "lines",
    "missing",
    "outcome",
    "reachable",
    "reason",
    "retry_after_ms",
    "revision",
    "route",
    "send_state",
    "server",
    "servers",
    "service",
    "shard",
    "share_per_s",
    "started_ms",
    "state",
    "status",
    "took_ms",
    "version",
    "waited_ms",
    "work"};

} // namespace

std::string_view to_string(event_kind it) {
    return kind_names.at(static_cast<std::size_t>(it));
}

std::string_view to_string(event_key it) {
    return key_names.at(static_cast<std::size_t>(it));
}

event_stamp event_log::stamp() {
    const std::int64_t wall = wall_clock_().time_since_epoch().count();
    if (wall > latest_.wall_ms)
        latest_ = {wall, 0};
    else
        ++latest_.counter;
    return latest_;
}

void event_log::observe(event_stamp remote) {
    // Ignores stamps far in the future, so that one process with a wrong wall clock does not advance the
    // stamps of all others.
    constexpr std::int64_t max_clock_skew_ms = 60'000;
    if (remote.wall_ms > wall_clock_().time_since_epoch().count() + max_clock_skew_ms)
        return;
    latest_ = std::max(latest_, remote);
}

void event_log::record(event_kind kind, request_id request, std::string_view subject, event_fields fields) {
    if (events_.size() == max_events)
        events_.pop_front();
    events_.push_back({stamp(), kind, std::move(request), std::string{subject}, std::move(fields)});
    if (sink_)
        sink_(events_.back());
}

} // namespace pollengrade
