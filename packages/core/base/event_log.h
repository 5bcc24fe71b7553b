/** @file event_log.h Event log of one process: decisions and state changes, with hybrid logical clock stamps
 * by which the logs of all processes can be merged in causal order. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** Kinds of events; docs/operators/logs.md describes each. */
enum class event_kind : std::uint8_t {
    node_started,
    node_ready,
    node_stopping,
    node_stopped,
    settings_reloaded,
    settings_rejected,
    request_received,
    request_refused,
    request_ended,
    request_abandoned,
    snapshot_pinned,
    query_planned,
    query_replanned,
    shard_hedged,
    shard_retried,
    shard_missing,
    attempt_failed,
    request_forwarded,
    order_claimed,
    order_sent,
    order_recorded,
    order_released,
    upstream_added,
    upstream_removed,
    upstream_draining,
    upstream_unreachable,
    upstream_reachable,
    upstream_suspected,
    upstream_cleared,
    upstream_limited,
    upstream_unlimited,
    upstream_paused, ///< a server asked for a pause
    reply_given_up,  ///< the replies under way take too much memory
    connection_ended,
    document_in_force,
    shard_map_in_force,
    routes_in_force,
    routes_rejected,
    registry_replaced,
    registry_entry_left, ///< an entry reads draining, or is gone from the store
    entries_unreadable,
    store_confirmation_old, ///< no store watcher's confirmation came in time; this node checks the store
    store_watch_taken_over, ///< this node watches the store in place of the store watchers
    platform_unreachable,
    platform_reachable,
    platform_restored,
    config_outdated,
    member_joined,
    member_left,
    process_suspended,
    lines_left_out,
    count, ///< number of the values above
};

/** @return the name used in logs and JSON. */
[[nodiscard]] std::string_view to_string(event_kind it);

/** Keys of event fields; a unit is part of the name. */
enum class event_key : std::uint8_t {
    address,
    age_ms,
    all_bytes, ///< of all replies under way
    asked,
    attempts,
    cause,
    code,
    connections,
    coverage,
    deadline_ms,
    domain,
    era,
    expected_wait_ms,
    from,
    hedges,
    held_bytes, ///< of one reply
    in_flight,
    in_time,
    included,
    kind,
    least,
    limit_bytes,
    limit_per_s,
    lines,
    missing,
    outcome,
    reachable,
    reason,
    retry_after_ms,
    revision,
    route,
    send_state,
    server,
    servers,
    service,
    shard,
    share_per_s,
    started_ms,
    state,
    status,
    took_ms,
    version,
    waited_ms,
    work,
    count, ///< number of the values above
};

/** @return the name used in logs and JSON. */
[[nodiscard]] std::string_view to_string(event_key it);

/** A key and its value in an event. */
struct event_field {
    event_key key;     ///< meaning and unit of the value
    std::string value; ///< text; numbers are in decimal

    event_field(event_key name, std::string_view text) : key{name}, value{text} {}
    event_field(event_key name, const char* text) : key{name}, value{text} {}
    event_field(event_key name, std::string text) : key{name}, value{std::move(text)} {}
    template <typename Number>
    requires std::is_arithmetic_v<Number> event_field(event_key name, Number n)
        : key{name}, value{std::to_string(n)} {}
    /** Writes a duration in whole milliseconds. */
    event_field(event_key name, duration span) : key{name}, value{std::to_string(to_milliseconds(span))} {}
};

using event_fields = std::vector<event_field>;

/** A hybrid logical clock reading: wall time, then a counter for readings with the same wall time. */
struct event_stamp {
    std::int64_t wall_ms = 0;  ///< milliseconds since the epoch; never decreases
    std::uint32_t counter = 0; ///< orders stamps with the same wall_ms

    friend auto operator<=>(const event_stamp&, const event_stamp&) = default;
};

/** An entry of the event log. */
struct event {
    event_stamp stamp;                          ///< when it was recorded; stamps sort in causal order
    event_kind kind = event_kind::node_started; ///< what happened
    request_id request;                         ///< request concerned, or empty
    std::string subject;                        ///< service, server or node concerned, or empty
    event_fields fields;                        ///< inputs and results of the decision
};

/** Keeps the most recent events of this process in bounded memory and passes each event to a sink. */
class event_log {
public:
    using sink = std::function<void(const event&)>;

    /** @param wall_clock reads the wall clock */
    explicit event_log(std::function<wall_time()> wall_clock) : wall_clock_{std::move(wall_clock)} {}

    /** Sets the function that is called with each event as it is recorded. */
    void set_sink(sink it) { sink_ = std::move(it); }

    /** Adds an event, with a stamp later than every stamp issued or observed so far. */
    void record(event_kind kind, request_id request, std::string_view subject, event_fields fields = {});
    /**
     * Advances the clock to a stamp received from another process, so that later events here sort after it.
     * Stamps more than a minute ahead of the wall clock are ignored.
     */
    void observe(event_stamp remote);
    /** @return a new stamp, for a message to another process. */
    event_stamp stamp();
    /** @return the retained events, oldest first. */
    [[nodiscard]] const std::deque<event>& events() const noexcept { return events_; }

private:
    static constexpr std::size_t max_events = 1024; ///< the oldest event is dropped when the log is full

    std::function<wall_time()> wall_clock_; ///< see event_log()
    sink sink_;                             ///< see set_sink()
    event_stamp latest_;                    ///< latest stamp issued or observed
    std::deque<event> events_;              ///< retained events, oldest first
};

} // namespace pollengrade
