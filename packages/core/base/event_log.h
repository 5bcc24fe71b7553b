/** @file event_log.h Decisions and changes of state of one process, stamped so that all processes' merge
 * causally. */
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

/** What happened; docs/operators/logs.md says what each means. */
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
    connection_ended,
    document_in_force,
    shard_map_in_force,
    routes_in_force,
    routes_rejected,
    registry_replaced,
    entries_unreadable,
    platform_unreachable,
    platform_reachable,
    member_joined,
    member_left,
    process_suspended,
    lines_left_out,
    count, ///< number of the values above
};

/** @return the name used in logs and JSON. */
[[nodiscard]] std::string_view to_string(event_kind it);

/** What a field of an event says; the unit is part of the name. */
enum class event_key : std::uint8_t {
    address,
    age_ms,
    asked,
    attempts,
    cause,
    code,
    connections,
    coverage,
    deadline_ms,
    domain,
    expected_wait_ms,
    from,
    hedges,
    in_flight,
    in_time,
    included,
    kind,
    least,
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

/** One named value of an event. */
struct event_field {
    event_key key;     ///< what it says
    std::string value; ///< numbers in decimal

    event_field(event_key name, std::string_view text) : key{name}, value{text} {}
    event_field(event_key name, const char* text) : key{name}, value{text} {}
    event_field(event_key name, std::string text) : key{name}, value{std::move(text)} {}
    template <typename Number>
    requires std::is_arithmetic_v<Number> event_field(event_key name, Number n)
        : key{name}, value{std::to_string(n)} {}
    /** A duration, in milliseconds. */
    event_field(event_key name, duration span) : key{name}, value{std::to_string(to_milliseconds(span))} {}
};

using event_fields = std::vector<event_field>;

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
    event_fields fields;                        ///< what decided it, and how it ended
};

/** Keeps the latest events of this process in bounded memory, and passes each on. */
class event_log {
public:
    using sink = std::function<void(const event&)>;

    /** @param wall_clock reads the wall clock */
    explicit event_log(std::function<wall_time()> wall_clock) : wall_clock_{std::move(wall_clock)} {}

    /** Sets what sees every event as it is recorded. */
    void set_sink(sink it) { sink_ = std::move(it); }

    /** Adds an event, stamped after every event known so far. */
    void record(event_kind kind, request_id request, std::string_view subject, event_fields fields = {});
    /** Takes note of another process's stamp, so that what follows here is stamped later. */
    void observe(event_stamp remote);
    /** @return a new stamp, to be sent to another process. */
    event_stamp stamp();
    /** @return the events kept, oldest first. */
    [[nodiscard]] const std::deque<event>& events() const noexcept { return events_; }

private:
    static constexpr std::size_t max_events = 1024; ///< older events are dropped

    std::function<wall_time()> wall_clock_; ///< the wall clock
    sink sink_;                             ///< see set_sink()
    event_stamp latest_;                    ///< the latest stamp given or seen
    std::deque<event> events_;              ///< oldest first
};

} // namespace pollengrade
