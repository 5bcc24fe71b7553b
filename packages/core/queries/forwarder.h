/** @file forwarder.h Finds the route of callers' requests, admits or refuses them, and runs them. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/config/route_table.h"
#include "core/queries/admission.h"
#include "core/queries/answer_timing.h"
#include "core/queries/delegation.h"
#include "core/queries/forward_run.h"
#include "core/queries/forward_type.h"
#include "core/queries/run_id.h"
#include "core/queries/traffic_split.h"
#include "core/upstreams/retry_budget.h"

namespace pollengrade {

/** What a forwarder needs to know about the other nodes and the services. */
struct forwarder_hooks {
    /** @return nodes that hold the connections to a gather's shards; empty if this node runs the query. */
    std::function<std::vector<node_address>(const route&)> holders;
    /** @return this node's limits on hedges and retries to a service. */
    std::function<retry_budget_limits(const service_name&)> budget;
    /** Called when another node is seen to have newer routes than any seen before. */
    std::function<void()> newer_routes_seen;
    /** Reads the clock; the timers' time is when the main loop last woke. */
    std::function<time_point()> precise_now;
};

/** All running requests of a node that forwards by routes. */
class forwarder {
public:
    /**
     * @param context components of the node
     * @param random random numbers
     * @param domain failure domain of this node's VM
     * @param hooks information about the other nodes
     * @param network calls to holders
     * @param caller_round_trip round trip to callers whose connection does not tell it
     */
    forwarder(run_context context, const std::function<std::uint64_t()>& random, failure_domain domain,
              forwarder_hooks hooks, delegation_hooks network, duration caller_round_trip);
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;
    forwarder(forwarder&&) = delete;
    forwarder& operator=(forwarder&&) = delete;
    ~forwarder();

    /**
     * Accepts a caller's request.
     * @param request the request to forward
     * @param respond called exactly once, possibly before this returns, unless the request is abandoned
     * @return an ID for abandon()
     */
    run_id submit(std::shared_ptr<const forwarded_request> request, forward_hook respond);
    /**
     * Accepts a query from another node. It runs on this node, whichever nodes hold the connections, if this
     * node has the routes that the other one has in force; otherwise like submit().
     */
    run_id submit_delegated(const delegated_request& request, std::function<void(delegated_answer)> respond);
    /** Ends a request whose caller is gone; no effect once the request is answered. */
    void abandon(run_id id);

    /**
     * Limits all requests, as this node is stopping: one that isn't expected to end in time is refused at
     * once, and every one has its answer at @p last_answer.
     */
    void stop_by(time_point last_answer);

    /** Puts newer routes in force; running requests keep theirs. @return whether the routes are newer */
    bool apply(route_table_ptr table);
    /** Reads the limits on hedges and retries again. */
    void refresh_budgets();

    /** @return the routes in force; null if there are none. */
    [[nodiscard]] const route_table_ptr& table() const noexcept { return table_; }
    /** @return number of requests running on this node. */
    [[nodiscard]] std::size_t running() const noexcept { return runs_.size(); }

private:
    /** A query that a holder declined because its routes are newer than this node's. */
    struct waiting_query {
        forward_job job;
        object_version version; ///< of the holder's routes
        forward_hook respond;
        timer_id limit; ///< ends the wait
    };

    [[nodiscard]] forward_job make_job(std::shared_ptr<const forwarded_request> request, const route& via,
                                       time_point arrived, duration time_outside);
    [[nodiscard]] forward_hook timed(forward_hook respond);
    void run_locally(run_id id, forward_job job, forward_hook respond);
    [[nodiscard]] stop_limit limit_of(const route& via) const;
    [[nodiscard]] bool ends_before(const route& via) const;
    /** Runs a job here or at a holder. */
    void start(run_id id, forward_job job, forward_hook respond);
    void delegate(run_id id, forward_job job, std::vector<node_address> holders, forward_hook respond);
    /** Plans a job again once a version is in force, or runs it here by the present routes if that takes
     * long. */
    void await_routes(run_id id, forward_job job, object_version version, forward_hook respond);
    void end_wait(run_id id);
    void plan_again(run_id id, const forward_job& job, forward_hook respond);
    void note_newer_routes(object_version version);
    void finish(run_id id, const forward_answer& answer);
    void record_answer(const forward_job& job, const forward_answer& answer, std::uint32_t hedges);
    void refuse_stopping(const forward_job& job, const forward_hook& respond);
    void log_refusal(const forward_job& job, const admission_decision& decision, std::size_t min_sets);
    retry_budget& budget_of(const service_name& service);

    run_context context_;                          ///< components of the node
    forwarder_hooks hooks_;                        ///< information about the other nodes
    delegation delegation_;                        ///< queries delegated to holders
    answer_timing timing_;                         ///< when answers must be decided
    route_table_ptr table_;                        ///< see table()
    object_version seen_version_;                  ///< newest routes that a holder's answer followed
    object_version wanted_version_;                ///< newest routes that another node was seen to have
    traffic_split split_;                          ///< distribution of weighted routes
    std::map<service_name, retry_budget> budgets_; ///< limits on hedges and retries, of services used so far
    std::unordered_map<run_id, std::unique_ptr<forward_run>> runs_; ///< running on this node
    std::map<run_id, waiting_query> waiting_;                       ///< queries that wait for newer routes
    std::optional<time_point> last_answer_;                         ///< see stop_by()
    std::uint64_t next_run_ = 1;                                    ///< ID of the next request
};

} // namespace pollengrade
