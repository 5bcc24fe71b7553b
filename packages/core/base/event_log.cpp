/** @file event_log.cpp Implementation of the time line. */
#include "core/base/event_log.h"

#include <algorithm>
#include <array>

namespace pollengrade {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(event_kind::count)> kind_names{
    "node_started",       "node_stopping",        "request_received",   "request_ended",
    "query_planned",      "query_replanned",      "shard_hedged",       "shard_retried",
    "order_claimed",      "order_sent",           "order_recorded",     "order_released",
    "upstream_draining",  "upstream_unreachable", "upstream_reachable", "document_in_force",
    "shard_map_in_force", "platform_unreachable", "platform_reachable", "member_joined",
    "member_left"};

} // namespace

std::string_view to_string(event_kind it) {
    return kind_names.at(static_cast<std::size_t>(it));
}

event_stamp event_log::stamp() {
    const std::int64_t wall = wall_clock_().time_since_epoch().count();
    if (wall > latest_.wall_ms)
        latest_ = {wall, 0};
    else
        ++latest_.counter;
    return latest_;
}

void event_log::observe(event_stamp seen) {
    // A process whose wall clock is far off must not drag all others along.
    constexpr std::int64_t max_ahead_ms = 60'000;
    if (seen.wall_ms > wall_clock_().time_since_epoch().count() + max_ahead_ms)
        return;
    latest_ = std::max(latest_, seen);
}

void event_log::record(event_kind kind, request_id request, std::string_view subject, std::int64_t detail) {
    if (events_.size() == max_events)
        events_.pop_front();
    events_.push_back({stamp(), kind, std::move(request), std::string{subject}, detail});
}

} // namespace pollengrade
