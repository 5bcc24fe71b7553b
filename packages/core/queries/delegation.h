/** @file delegation.h Hands queries to nodes that hold the connections to their shards. */
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
#include "core/queries/forward_type.h"
#include "core/queries/run_id.h"
#include "core/upstreams/attempt_type.h"
#include "core/upstreams/upstream_health.h"

namespace pollengrade {

/** A query on its way to a holder. */
struct delegated_request {
    std::shared_ptr<const forwarded_request> request; ///< as the caller sent it
    duration elapsed{};                               ///< since the caller's request was read
    duration left{};                                  ///< until its answer is of no more use
    object_version least_version; ///< the holder must know routes of this version or a later one
};

/** What a holder made of it. */
struct delegated_answer {
    forward_answer answer;  ///< for the caller
    object_version version; ///< of the routes that it follows
    duration took{};        ///< from the holder's reading of the query to its answer
    bool is_stale = false;  ///< the holder's routes are older than asked for; it has not run the query
};

/** Names one call to a holder. */
using delegation_call = strong_type<struct delegation_call_tag, std::uint64_t>;

/** What delegation needs of the network. */
struct delegation_hooks {
    /**
     * Opens a call to a holder, without the query.
     * @param limit of the whole call
     * @param shown called at most once, when the holder's process has shown that it runs; gives what it is
     * sent
     * @param done called once with its answer, or nullopt when there is none and none will come
     */
    std::function<void(delegation_call, const node_address&, duration limit,
                       std::function<delegated_request()> shown,
                       std::function<void(std::optional<delegated_answer>)> done)>
        open;
    /** Withdraws a call; its hooks are not called any more. */
    std::function<void(delegation_call)> cancel;
    /** @return the failure domain of a node; empty when it is not known. */
    std::function<failure_domain(const node_address&)> domain_of;
};

/**
 * Delegates idempotent queries. A holder shows within milliseconds that its process runs and is sent the
 * query then; one that does not is left alone for a while and another is asked. What no holder takes, this
 * node runs itself. A query is sent to one holder only: two would together ask more servers than its route
 * allows.
 */
class delegation {
public:
    /** Takes the answer; nullopt when no holder took the query. */
    using answered = std::function<void(std::optional<delegated_answer>)>;

    /**
     * @param timers the clock
     * @param log the event log
     * @param counts the counters
     * @param random random numbers
     * @param domain where this node's VM stands
     * @param hooks the network
     */
    delegation(timer_queue& timers, event_log& log, metrics& counts, std::function<std::uint64_t()> random,
               failure_domain domain, delegation_hooks hooks);

    /**
     * Hands a query over.
     * @param id names it; taken by abandon()
     * @param request the query; its times count from now
     * @param holders nodes that may take it
     * @param done called once unless the query is abandoned, maybe at once
     */
    void submit(run_id id, delegated_request request, std::vector<node_address> holders, answered done);
    /** Ends a query whose caller is gone. */
    void abandon(run_id id);

private:
    /** One query. */
    struct query {
        delegated_request request;
        time_point started;                            ///< when it was handed over
        std::vector<node_address> holders;             ///< that may take it
        std::vector<node_address> asked;               ///< that have been sent it
        std::map<delegation_call, node_address> calls; ///< that are open
        std::optional<timer_id> unseen;                ///< the last holder has not shown itself by then
        std::optional<delegation_call> sent;           ///< the call with which the query went out
        time_point sent_at;                            ///< when it did
        answered done;
    };
    /** What is known of one holder. */
    struct holder_state {
        upstream_health standing;    ///< how it has served
        std::uint32_t in_flight = 0; ///< this node's queries there
        time_point silent_until{};   ///< it did not show that it runs
    };

    [[nodiscard]] duration usual_overhead() const;
    bool ask_next(run_id id);
    [[nodiscard]] std::optional<node_address> choose(const query& it);
    void on_unseen(run_id id, delegation_call call);
    delegated_request on_shown(run_id id, delegation_call call);
    void close_calls(query& it, std::optional<delegation_call> kept);
    void on_done(run_id id, delegation_call call, const std::optional<delegated_answer>& answer);
    void end_call(const node_address& holder);
    void finish(run_id id, std::optional<delegated_answer> answer);

    timer_queue& timers_;                          ///< the clock
    event_log& log_;                               ///< the event log
    metrics& counts_;                              ///< the counters
    std::function<std::uint64_t()> random_;        ///< random numbers
    failure_domain domain_;                        ///< where this node's VM stands
    delegation_hooks hooks_;                       ///< the network
    std::unordered_map<run_id, query> queries_;    ///< open
    std::map<node_address, holder_state> holders_; ///< that were ever asked
    latency_profile overhead_;                     ///< of the ways to holders and back
    std::uint64_t next_call_ = 1;                  ///< the next call's ID
};

} // namespace pollengrade
