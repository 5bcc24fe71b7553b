/** @file event_log.h The time line of one process, stamped so that all processes' lines merge causally. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** What happened. */
enum class event_kind : std::uint8_t {
    node_started,
    node_stopping,
    request_received,
    request_ended,
    query_planned,
    query_replanned,
    shard_hedged,
    shard_retried,
    order_claimed,
    order_sent,
    order_recorded,
    order_released,
    upstream_draining,
    upstream_unreachable,
    upstream_reachable,
    document_in_force,
    shard_map_in_force,
    platform_unreachable,
    platform_reachable,
    member_joined,
    member_left,
    count, ///< number of the values above
};

/** @return the name used in JSON. */
[[nodiscard]] std::string_view to_string(event_kind it);

/** A hybrid logical clock reading: wall time first, then a counter within it. */
struct event_stamp {
    std::int64_t wall_ms = 0;  ///< milliseconds since the epoch, never going back
    std::uint32_t counter = 0; ///< orders stamps of one millisecond

    friend auto operator<=>(const event_stamp&, const event_stamp&) = default;
};

/** One event. */
struct event {
    event_stamp stamp;                          ///< when, in causal order
    event_kind kind = event_kind::node_started; ///< what
    request_id request;                         ///< the request concerned, or empty
    std::string subject;                        ///< service, server or node concerned, or empty
    std::int64_t detail = 0;                    ///< shard, version or count, by kind
};

/** Keeps the latest events of this process in bounded memory. */
class event_log {
public:
    /** @param wall_clock reads the wall clock */
    explicit event_log(std::function<wall_time()> wall_clock) : wall_clock_{std::move(wall_clock)} {}

    /** Adds an event, stamped after every event known so far. */
    void record(event_kind kind, request_id request, std::string_view subject, std::int64_t detail = 0);
    /** Takes note of another process's stamp, so that what follows here is stamped later. */
    void observe(event_stamp seen);
    /** @return a new stamp, to be sent to another process. */
    event_stamp stamp();
    /** @return the events kept, oldest first. */
    [[nodiscard]] const std::deque<event>& events() const noexcept { return events_; }

private:
    static constexpr std::size_t max_events = 4096; ///< older events are dropped

    std::function<wall_time()> wall_clock_; ///< the wall clock
    event_stamp latest_;                    ///< the latest stamp given or seen
    std::deque<event> events_;              ///< oldest first
};

} // namespace pollengrade
