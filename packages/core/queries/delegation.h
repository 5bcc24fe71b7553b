/** @file delegation.h Delegates queries to nodes that hold the connections to their shards. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/base/event_log.h"
#include "core/base/latency_profile.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/config/node_knowledge.h"
#include "core/queries/forward_type.h"
#include "core/queries/run_id.h"
#include "core/upstreams/attempt_type.h"
#include "core/upstreams/departures.h"
#include "core/upstreams/upstream_health.h"

namespace pollengrade {

/** A query as sent to a holder. */
struct delegated_request {
    std::shared_ptr<const forwarded_request> request; ///< the request as the caller sent it
    duration elapsed{};                               ///< time since the caller's request was read
    duration left{};                                  ///< time until the answer is no longer useful
    object_version least_version;            ///< the holder must have routes of this version or a newer one
    std::vector<departed_server> departed{}; ///< servers that leave, which the holder may not know yet
    /** Version of the routes in force at the sender: a holder does nothing by newer ones for it, as it goes
     * on by its own afterwards. Zero from builds that don't say it. */
    object_version routes_version{};
};

/** A holder's answer to a delegated query. */
struct delegated_answer {
    forward_answer answer;    ///< the answer for the caller
    object_version version;   ///< version of the routes that the answer follows
    duration took{};          ///< time from when the holder read the query to its answer
    bool is_declined = false; ///< whether the holder didn't run it: its routes are older than wanted or newer
                              ///< than the sender's, or it is stopping
    node_knowledge knowledge{};              ///< of the holder, when it answered
    std::vector<departed_server> departed{}; ///< servers that stated it in replies while the query ran
};

/** Identifies one call to a holder. */
using delegation_call = strong_type<struct delegation_call_tag, std::uint64_t>;

/** Network operations that delegation uses. */
struct delegation_hooks {
    /**
     * Opens a call to a holder, without sending the query yet.
     * @param limit time limit of the whole call
     * @param acknowledged called at most once, when the holder's process has proved that it runs; returns the
     * query to send
     * @param done called once with the holder's answer, or nullopt if there will be none
     */
    std::function<void(delegation_call, const node_address&, duration limit,
                       std::function<delegated_request()> acknowledged,
                       std::function<void(std::optional<delegated_answer>)> done)>
        open;
    /** Cancels a call; its callbacks are not called any more. */
    std::function<void(delegation_call)> cancel;
    /** @return the failure domain of a node; empty if unknown. */
    std::function<failure_domain(const node_address&)> domain_of;
    /** @return the servers that this node learned to leave after an earlier call; see departures::after(). */
    std::function<departure_news(std::uint64_t up_to)> departures_after{};
    /** @return the version of the routes in force at this node. */
    std::function<object_version()> routes_in_force{};
};

/**
 * Delegates idempotent queries. A query is sent to a holder once the holder's process has acknowledged the
 * call. A holder that does not acknowledge within milliseconds is not used for a while, and the next one is
 * called. This node runs the queries that no holder takes. A query is sent to one holder at a time: two would
 * together use more servers than its route allows.
 */
class delegation {
public:
    /** Receives the answer; nullopt if no holder took the query. A declined one is from a holder whose routes
     * are newer than this node's. */
    using answer_callback = std::function<void(std::optional<delegated_answer>)>;

    /**
     * @param timers the clock
     * @param log the event log
     * @param counts the counters
     * @param random random numbers
     * @param domain failure domain of this node's VM
     * @param hooks network operations
     */
    delegation(timer_queue& timers, event_log& log, metrics& counts, std::function<std::uint64_t()> random,
               failure_domain domain, delegation_hooks hooks);

    /**
     * Delegates a query.
     * @param id identifies the query, for abandon()
     * @param request the query; its times are relative to now
     * @param holders nodes that may take the query
     * @param done called once unless the query is abandoned, possibly before this returns
     */
    void submit(run_id id, delegated_request request, std::vector<node_address> holders,
                answer_callback done);
    /** Ends a query whose caller is gone. */
    void abandon(run_id id);
    /** Ends all queries at a time, as this node is stopping. */
    void stop_by(time_point last_answer);

private:
    /** One delegated query. */
    struct query {
        delegated_request request;
        time_point started;                            ///< when it was submitted
        std::vector<node_address> holders;             ///< nodes that may take the query
        std::vector<node_address> contacted;           ///< holders called so far
        std::map<delegation_call, node_address> calls; ///< open calls
        std::optional<timer_id> ack_timer;             ///< ack timeout of the last holder called
        std::optional<delegation_call> sent_call;      ///< the call on which the query was sent
        time_point sent_at;                            ///< when it was sent
        object_version sent_version;                   ///< version of the routes in force here at that time
        std::uint64_t told_up_to = 0;                  ///< departures that the holder knows by its answer
        answer_callback done;
    };
    /** State of one holder. */
    struct holder_state {
        upstream_health health;       ///< health, from the results of its calls
        std::uint32_t in_flight = 0;  ///< this node's open calls to the holder
        time_point silent_until{};    ///< after an ack timeout: not called before then
        std::uint64_t told_up_to = 0; ///< departures that it has been told; 0 once it may have restarted
    };

    [[nodiscard]] duration expected_overhead() const;
    bool contact_next(run_id id);
    [[nodiscard]] std::optional<node_address> choose_holder(const query& it);
    void on_ack_timeout(run_id id, delegation_call call);
    delegated_request on_acknowledged(run_id id, delegation_call call);
    void cancel_calls(query& it, std::optional<delegation_call> kept);
    void on_done(run_id id, delegation_call call, const std::optional<delegated_answer>& answer);
    void release_holder(const node_address& holder);
    void end_all();
    void finish(run_id id, std::optional<delegated_answer> answer);

    timer_queue& timers_;                          ///< the clock
    event_log& log_;                               ///< the event log
    metrics& counts_;                              ///< the counters
    std::function<std::uint64_t()> random_;        ///< random numbers
    failure_domain domain_;                        ///< failure domain of this node's VM
    delegation_hooks hooks_;                       ///< network operations
    std::unordered_map<run_id, query> queries_;    ///< queries in progress
    std::map<node_address, holder_state> holders_; ///< state of all holders considered so far
    latency_profile overhead_;    ///< from sending a query to its answer, less the holder's own time
    std::uint64_t next_call_ = 1; ///< ID of the next call
};

} // namespace pollengrade
