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
#include "core/upstreams/replica_set.h"
#include "core/upstreams/upstream.h"

namespace pollengrade {

/** What the dispatcher needs of the network. */
struct transport_hooks {
    /** Starts to open a connection. @return false when that failed at once */
    std::function<bool(connection_id, const upstream_address&)> open;
    /** Sends a request on an open connection without one. */
    std::function<void(connection_id, const upstream_identity&, const attempt_request&)> send;
    /** Ends a connection, at once and without word. */
    std::function<void(connection_id)> close;
};

/** Why an attempt is given up. */
enum class cancel_reason : std::uint8_t {
    superseded,  ///< its reply is not needed any more: it may come to an end, which keeps the connection
    caller_gone, ///< nobody waits: the server is to stop working on it
};

/** Every server known to this node, their connections, and every attempt waiting or in flight. */
class dispatcher {
public:
    using completion = std::function<void(const attempt_end&)>;

    /**
     * @param timers the clock
     * @param log the event log
     * @param counts the counters
     * @param random a source of random numbers
     * @param domain where this node's VM stands
     * @param hooks the network
     */
    dispatcher(timer_queue& timers, event_log& log, metrics& counts, std::function<std::uint64_t()> random,
               failure_domain domain, transport_hooks hooks);

    /** Makes a server known, or changes what it takes. One connection to it is kept open. */
    void put_server(const upstream_identity& identity, upstream_limits limits);
    /** Forgets a server: it gets nothing new, and is gone once its requests have ended. */
    void remove_server(const upstream_id& id);
    /** Sets the servers of a replica set. @pre all are known */
    void set_members(const replica_set_name& set, std::vector<upstream_id> members,
                     std::uint32_t max_waiting);
    /** Notes word that a server is leaving, or lives; see upstream::mark_leaving(). */
    void note_leaving(const upstream_id& id, std::string_view incarnation);
    void note_live(const upstream_id& id, std::string_view incarnation);

    /** @return what an attempt would find. */
    [[nodiscard]] availability availability_of(const replica_set_name& set,
                                               std::span<const upstream_id> excluded,
                                               placement_purpose purpose) const;
    /** @return the expected wait for a reply over usable servers; nullopt when none is usable. */
    [[nodiscard]] std::optional<duration> expected_wait(const replica_set_name& set,
                                                        const work_class& work) const;
    /** @return a quantile of the replies' times of a kind of work; nullopt while too few are known. */
    [[nodiscard]] std::optional<duration> latency_quantile(const work_class& work, double quantile) const;

    /**
     * Sends an attempt, at once or when a server has room.
     * @param request what to send
     * @param done called once at its end, unless the attempt is withdrawn; never from within submit()
     * @return the attempt's ID
     * @pre availability_of() is immediate or waiting
     */
    attempt_id submit(attempt_request request, completion done);
    /** Gives an attempt up. Unknown ones are left alone. */
    void cancel(attempt_id id, cancel_reason why);
    /** @return the server that an attempt was sent to; nullopt while it waits, or when it is over. */
    [[nodiscard]] std::optional<upstream_id> server_of(attempt_id id) const;
    [[nodiscard]] bool was_sent(attempt_id id) const { return server_of(id).has_value(); }

    /** @return whether somebody waits for the reply on a connection. */
    [[nodiscard]] bool is_reply_awaited(connection_id id) const;

    /** A connection has come about. */
    void on_connected(connection_id id);
    /** A connection has ended. @param state how far the request on it had come */
    void on_connection_ended(connection_id id, connection_end why, send_state state);
    /**
     * The request on a connection is answered.
     * @param result the reply, or what is wrong with it
     * @param kept whether the connection is still open
     * @param idle_timeout how long the server keeps it unused; zero when it did not say
     */
    void on_answered(connection_id id, attempt_result result, bool kept, duration idle_timeout);

    /** @return a known server, or null. */
    [[nodiscard]] const upstream* find(const upstream_id& id) const;
    /** @return all known servers. */
    [[nodiscard]] const std::map<upstream_id, upstream>& upstreams() const noexcept { return upstreams_; }
    /** @return attempts waiting or in flight that somebody still wants. */
    [[nodiscard]] std::size_t live_attempts() const noexcept { return live_attempts_; }
    /** @return connections open or being opened. */
    [[nodiscard]] std::size_t connections() const noexcept { return owners_.size(); }

private:
    /** One attempt. */
    struct attempt {
        attempt_request request;
        completion done;                     ///< empty once withdrawn
        upstream_id server;                  ///< empty while it waits
        connection_id connection;            ///< for a sent one
        time_point sent_at{};                ///< for a sent one
        std::optional<timer_id> abort_timer; ///< for a withdrawn one: when its connection is closed
    };

    upstream* at(const upstream_id& id);
    [[nodiscard]] const replica_set* set_of(const replica_set_name& name) const;
    std::optional<upstream_id> choose(const attempt_request& request);
    void transmit(attempt_id id, const upstream_id& server);
    void dispatch_waiting(const replica_set_name& name);
    void dispatch_waiting_for(const upstream_id& id);
    void fail_unservable(replica_set& set);
    void finish(attempt_id id, send_state state, attempt_result result);
    void connect(upstream& server);
    void connect_for(const attempt_request& request);
    void keep_connected(const upstream_id& id);
    void drop_connection(upstream& server, connection_id id);
    void on_connect_failed(upstream& server, connection_end why);
    void note_result(upstream& server, const attempt& sent, const attempt_result& result);
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
    failure_domain domain_;                                        ///< where this node's VM stands
    transport_hooks hooks_;                                        ///< the network
    std::map<upstream_id, upstream> upstreams_;                    ///< by ID
    std::map<replica_set_name, replica_set> sets_;                 ///< by name
    std::map<upstream_id, std::vector<replica_set_name>> sets_of_; ///< the sets that a server is in
    std::unordered_map<work_class, latency_profile> profiles_;     ///< of good replies, by kind of work
    std::unordered_map<attempt_id, attempt> attempts_;             ///< waiting or in flight
    std::unordered_map<connection_id, upstream_id> owners_;        ///< the server of each connection
    std::map<connection_id, timer_id> connect_timeouts_;           ///< of connections being opened
    std::map<upstream_id, timer_id> reconnects_;                   ///< pending tries to connect
    std::optional<timer_id> response_check_;                       ///< pending check_unresponsive()
    std::optional<timer_id> unused_check_;                         ///< pending close_unused()
    std::size_t live_attempts_ = 0;                                ///< see live_attempts()
    std::uint64_t next_attempt_ = 1;                               ///< the next attempt's ID
    std::uint64_t next_connection_ = 1;                            ///< the next connection's ID
};

} // namespace pollengrade
