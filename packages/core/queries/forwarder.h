/** @file forwarder.h Takes callers' requests, finds their route, admits or refuses them, and runs them. */
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
#include "core/queries/delegation.h"
#include "core/queries/forward_run.h"
#include "core/queries/forward_type.h"
#include "core/queries/run_id.h"
#include "core/queries/traffic_split.h"
#include "core/upstreams/retry_budget.h"

namespace pollengrade {

/** What a forwarder needs to know of the other nodes. */
struct forwarder_hooks {
    /** @return nodes that hold the connections of a gather's shards; empty when this node runs it itself. */
    std::function<std::vector<node_address>(const route&)> holders;
    /** @return this node's bounds on hedges and retries to a service. */
    std::function<retry_budget_limits(const service_name&)> budget;
    /** A holder follows later routes than this node knows. */
    std::function<void()> behind;
};

/** Every running request of a node that forwards by routes. */
class forwarder {
public:
    /**
     * @param context what the node shares
     * @param random random numbers
     * @param domain where this node's VM stands
     * @param hooks the other nodes
     * @param network calls to holders
     */
    forwarder(run_context context, const std::function<std::uint64_t()>& random, failure_domain domain,
              forwarder_hooks hooks, delegation_hooks network);

    /**
     * Takes a caller's request.
     * @param request what is to go on
     * @param respond called once, maybe at once, unless the request is abandoned
     * @return an ID that abandon() takes
     */
    run_id submit(std::shared_ptr<const forwarded_request> request, forward_hook respond);
    /** Takes another node's query; it is run here, whoever holds the connections. The rest as for submit().
     */
    run_id submit_delegated(const delegated_request& request, std::function<void(delegated_answer)> respond);
    /** Ends a request that nobody waits for any more; one that has its answer is left alone. */
    void abandon(run_id id);

    /** Puts routes in force unless later ones are; running requests keep theirs. @return whether it did */
    bool apply(route_table_ptr table);
    /** Asks for the bounds on hedges and retries anew. */
    void refresh_budgets();

    /** @return the routes in force; null for none. */
    [[nodiscard]] const route_table_ptr& table() const noexcept { return table_; }
    /** @return requests running here now. */
    [[nodiscard]] std::size_t running() const noexcept { return runs_.size(); }

private:
    [[nodiscard]] forward_order make_order(std::shared_ptr<const forwarded_request> request, const route& via,
                                           time_point arrived);
    void run_here(run_id id, forward_order order, forward_hook respond);
    void hand_over(run_id id, forward_order order, std::vector<node_address> holders, forward_hook respond);
    void finish(run_id id, const forward_answer& answer);
    void note_answer(const forward_order& order, const forward_answer& answer, std::uint32_t hedges);
    void note_refusal(const forward_order& order, const admission_verdict& verdict, std::size_t least);
    retry_budget& budget_of(const service_name& service);

    run_context context_;                                           ///< what the node shares
    forwarder_hooks hooks_;                                         ///< the other nodes
    delegation delegation_;                                         ///< queries at holders
    route_table_ptr table_;                                         ///< see table()
    object_version seen_version_;                                   ///< latest routes that an answer followed
    traffic_split split_;                                           ///< of weighted routes
    std::map<service_name, retry_budget> budgets_;                  ///< of services used so far
    std::unordered_map<run_id, std::unique_ptr<forward_run>> runs_; ///< running here
    std::uint64_t next_run_ = 1;                                    ///< the next request's ID
};

} // namespace pollengrade
