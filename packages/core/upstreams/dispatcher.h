/** @file dispatcher.h Sends attempts to servers over a bounded number of connections. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/base/event_log.h"
#include "core/base/id_type.h"
#include "core/base/latency_profile.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/upstreams/attempt_type.h"
#include "core/upstreams/departures.h"
#include "core/upstreams/leaving_type.h"
#include "core/upstreams/replica_set.h"
#include "core/upstreams/upstream.h"

namespace pollengrade {

/** Network operations that the dispatcher needs. */
struct transport_hooks {
    /** Starts to open a connection. @return false if that failed immediately */
    std::function<bool(connection_id, const upstream_address&)> open;
    /** Sends a request on an open connection that carries none. */
    std::function<void(connection_id, const upstream_identity&, const attempt_request&)> send;
    /** Closes a connection immediately; on_connection_ended() is not called. */
    std::function<void(connection_id)> close;
};

/** What a reply states about its connection and its server, besides the answer itself. */
struct reply_terms {
    bool keeps_connection = true; ///< whether the connection is still open
    duration idle_timeout{};      ///< how long the server keeps it open unused; zero if it did not state it
    rate_statement rate;          ///< the request rate that the server accepts
    bool is_leaving = false;      ///< whether the server states that it is leaving
    pause_statement pause{};      ///< the pause that the server asks for
};

/** Why an attempt is cancelled. */
enum class cancel_reason : std::uint8_t {
    superseded,  ///< its reply is no longer needed: it may still finish, which preserves the connection
    caller_gone, ///< no caller waits: the connection is closed so that the server stops working on it
};

/** Manages all servers known to this node, their connections, and all attempts waiting or in flight. */
class dispatcher {
public:
    using completion = std::function<void(const attempt_end&)>;

    /**
     * @param timers the clock
     * @param log the event log
     * @param counts the counters
     * @param random a source of random numbers
     * @param domain failure domain of this node's VM
     * @param hooks the network operations
     */
    dispatcher(timer_queue& timers, event_log& log, metrics& counts, std::function<std::uint64_t()> random,
               failure_domain domain, transport_hooks hooks);

    /** Adds a server, or changes its limits. One connection to it is kept open if its limits say so. */
    void put_server(const upstream_identity& identity, upstream_limits limits);
    /** Removes a server: it is sent no new requests, and is deleted once its requests have ended. */
    void remove_server(const upstream_id& id);
    /** Sets the servers of a replica set. @pre put_server() was called for all of them */
    void set_members(const replica_set_name& set, std::vector<upstream_id> members, queue_limits limits);
    /** Records that a server is leaving, or is live; see upstream::mark_leaving() and mark_live(). */
    void note_leaving(const upstream_id& id, std::string_view incarnation, const leaving_report& report);
    void note_live(const upstream_id& id, std::string_view incarnation);
    /** Takes from another node which servers stated in replies to it that they leave. */
    void note_departed(std::span<const departed_server> servers);
    /** @return the server of a connection; an empty ID for none. */
    [[nodiscard]] upstream_id server_at(connection_id id) const;
    /** @return the servers that stated in replies that they leave. */
    [[nodiscard]] const departures& departed() const noexcept { return departures_; }

    /** @return whether an attempt submitted now would be sent, be queued or fail. */
    [[nodiscard]] availability availability_of(const replica_set_name& set,
                                               std::span<const upstream_id> excluded,
                                               placement_purpose purpose) const;
    /** @return the expected time until a new request is answered; nullopt if no server is usable. */
    [[nodiscard]] std::optional<duration> expected_wait(const replica_set_name& set,
                                                        const work_class& work) const;
    /** @return whether a new request is expected to be answered within a time; false if too little is known.
     */
    [[nodiscard]] bool answers_within(const replica_set_name& set, const work_class& work,
                                      duration time_left) const;
    /**
     * @return the time until a new attempt may be sent within the request rates that the servers state; zero
     * if a usable server states none
     */
    [[nodiscard]] duration rate_wait(const replica_set_name& set,
                                     std::span<const upstream_id> excluded) const;
    /** @return the time until the first of a set's servers ends its pause, if that is all that they lack. */
    [[nodiscard]] std::optional<duration> pause_wait(const replica_set_name& set) const;
    /** Sets the longest pause that a server may ask for. */
    void set_max_pause(duration limit) { max_pause_ = limit; }
    /** @return a quantile of the reply times of a kind of work; nullopt while too few are known. */
    [[nodiscard]] std::optional<duration> latency_quantile(const work_class& work, double quantile) const;

    /**
     * Sends an attempt, immediately or once a server has room.
     * @param request what to send
     * @param done called once when the attempt ends, unless it is cancelled; never from within submit()
     * @return the attempt's ID
     * @pre availability_of() is immediate or waiting, or crowded and answers_within() its target
     */
    attempt_id submit(attempt_request request, completion done);
    /** Cancels an attempt. Unknown IDs are ignored. */
    void cancel(attempt_id id, cancel_reason why);
    /** @return the server that an attempt was sent to; nullopt while it waits and after its end. */
    [[nodiscard]] std::optional<upstream_id> server_of(attempt_id id) const;
    [[nodiscard]] bool was_sent(attempt_id id) const { return server_of(id).has_value(); }

    /** @return whether a connection carries a request that was not cancelled. */
    [[nodiscard]] bool is_reply_awaited(connection_id id) const;

    /** Called when a connection is established. */
    void on_connected(connection_id id);
    /** Called when a connection has ended. @param state progress of the request on it */
    void on_connection_ended(connection_id id, connection_end why, send_state state);
    /**
     * Called when the request on a connection is answered.
     * @param result the reply, or why it is unusable
     */
    void on_answered(connection_id id, attempt_result result, const reply_terms& terms);

    /** @return the server with an ID, or null. */
    [[nodiscard]] const upstream* find(const upstream_id& id) const;
    /** @return all known servers, by ID. */
    [[nodiscard]] const std::map<upstream_id, upstream>& upstreams() const noexcept { return upstreams_; }
    /** @return the number of attempts waiting or in flight that were not cancelled. */
    [[nodiscard]] std::size_t live_attempts() const noexcept { return live_attempts_; }
    /** @return the number of connections open or being opened. */
    [[nodiscard]] std::size_t connections() const noexcept { return owners_.size(); }

private:
    /** State of one attempt. */
    struct attempt {
        attempt_request request;
        completion done;                     ///< empty once cancelled
        upstream_id server;                  ///< empty while the attempt waits
        connection_id connection;            ///< set once sent
        time_point sent_at{};                ///< set once sent
        waiting_attempt place;               ///< its place in the queue while it waits
        std::optional<timer_id> abort_timer; ///< of a cancelled one: closes its connection
    };

    upstream* at(const upstream_id& id);
    [[nodiscard]] const replica_set* set_of(const replica_set_name& name) const;
    /** @return immediate, waiting or none: whether a server has room or will have; the queue is not counted.
     */
    [[nodiscard]] availability room_at(const replica_set& set, std::span<const upstream_id> excluded,
                                       placement_purpose purpose) const;
    /** @return the servers of a set that take requests and are not known to be unreachable. */
    [[nodiscard]] std::vector<const upstream*> reachable_servers(const replica_set& set,
                                                                 std::span<const upstream_id> excluded) const;
    std::optional<upstream_id> choose_server(const attempt_request& request);
    void transmit(attempt_id id, const upstream_id& server);
    void dispatch_waiting(const replica_set_name& name);
    void dispatch_waiting_for(const upstream_id& id);
    void fail_unservable(replica_set& set);
    /** Sends waiting attempts of a set again once a server's stated rate allows the next request. */
    void arm_rate_check(const replica_set_name& name);
    void finish(attempt_id id, send_state state, attempt_result result);
    void connect(upstream& server);
    void connect_for(const attempt_request& request);
    void keep_connected(const upstream_id& id);
    void drop_connection(upstream& server, connection_id id);
    void on_connect_failed(upstream& server, connection_end why);
    void note_result(upstream& server, const attempt& sent, const attempt_result& result);
    void note_rate(upstream& server, const attempt& sent, const attempt_result& result,
                   const rate_statement& rate);
    void note_stated_leaving(upstream& server, const request_id& request);
    void note_pause(upstream& server, const attempt& sent, const pause_statement& pause);
    void note_failure(upstream& server, std::string_view cause);
    void close_unused();
    void arm_unused_check();
    void check_unresponsive();
    void probe_unresponsive_server(const upstream_id& id, std::span<const request_in_flight> requests);
    void abort_attempt(attempt_id id);
    void arm_response_check();
    void remove_if_drained(const upstream_id& id);
    [[nodiscard]] duration usual_latency(const work_class& work) const;

    timer_queue& timers_;                                          ///< the clock
    event_log& log_;                                               ///< the event log
    metrics& counts_;                                              ///< the counters
    std::function<std::uint64_t()> random_;                        ///< random numbers
    failure_domain domain_;                                        ///< failure domain of this node's VM
    transport_hooks hooks_;                                        ///< the network operations
    std::map<upstream_id, upstream> upstreams_;                    ///< by ID
    std::map<replica_set_name, replica_set> sets_;                 ///< by name
    std::map<upstream_id, std::vector<replica_set_name>> sets_of_; ///< the sets that each server belongs to
    duration max_pause_ = std::chrono::minutes{5};                 ///< see set_max_pause()
    std::map<upstream_id, timer_id> pause_ends_; ///< when waiting attempts may be sent to a server again
    /** See departed(). */
    departures departures_{[this](const upstream_id& id) { return upstreams_.contains(id); }};
    std::unordered_map<work_class, latency_profile> profiles_; ///< times of good replies, by kind of work
    std::unordered_map<attempt_id, attempt> attempts_;         ///< attempts waiting or in flight
    std::unordered_map<connection_id, upstream_id> owners_;    ///< the server of each connection
    std::map<connection_id, timer_id> connect_timeouts_;       ///< timeouts of connections being opened
    std::map<upstream_id, timer_id> reconnects_;               ///< pending attempts to reconnect
    std::map<replica_set_name, timer_id> rate_checks_;         ///< see arm_rate_check()
    std::optional<timer_id> response_check_;                   ///< pending check_unresponsive()
    std::optional<timer_id> unused_check_;                     ///< pending close_unused()
    std::size_t live_attempts_ = 0;                            ///< see live_attempts()
    std::uint64_t next_attempt_ = 1;                           ///< the next attempt's ID
    std::uint64_t next_connection_ = 1;                        ///< the next connection's ID
};

} // namespace pollengrade
