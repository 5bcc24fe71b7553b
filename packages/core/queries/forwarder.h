/** @file forwarder.h Takes callers' requests, finds their route, admits or refuses them, and runs them. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "core/config/route_table.h"
#include "core/queries/admission.h"
#include "core/queries/forward_run.h"
#include "core/queries/forward_type.h"
#include "core/queries/run_id.h"
#include "core/queries/traffic_split.h"
#include "core/upstreams/load_budget.h"

namespace pollengrade {

/** Every running request of a node that forwards by routes. */
class forwarder {
public:
    /**
     * @param context what the node shares
     * @param budget this node's bounds on hedges and retries, for each service
     */
    forwarder(run_context context, load_budget_limits budget);

    /**
     * Takes a request.
     * @param request what is to go on
     * @param respond called once, maybe at once, unless the request is abandoned
     * @return an ID that abandon() takes
     */
    run_id submit(std::shared_ptr<const forwarded_request> request, forward_hook respond);
    /** Ends a request whose caller is gone. */
    void abandon(run_id id);

    /** Puts routes in force unless later ones are; running requests keep theirs. @return whether it did */
    bool apply(route_table_ptr table);
    /** Changes the bounds on hedges and retries. */
    void set_budget(load_budget_limits budget);

    /** @return the routes in force; null for none. */
    [[nodiscard]] const route_table_ptr& table() const noexcept { return table_; }
    /** @return requests running now. */
    [[nodiscard]] std::size_t running() const noexcept { return runs_.size(); }
    /** Sets the hook that is called when the last running request ends. */
    void set_idle_hook(std::function<void()> hook) { idle_ = std::move(hook); }

private:
    [[nodiscard]] forward_order make_order(std::shared_ptr<const forwarded_request> request,
                                           const route& via);
    void finish(run_id id, const forward_answer& answer);
    void note_answer(const forward_order& order, const forward_answer& answer, std::uint32_t hedges);
    void note_refusal(const forward_order& order, const admission_verdict& verdict, std::size_t least);
    load_budget& budget_of(const service_name& service);

    run_context context_;                                           ///< what the node shares
    load_budget_limits budget_;                                     ///< of each service
    route_table_ptr table_;                                         ///< see table()
    traffic_split split_;                                           ///< of weighted routes
    std::map<service_name, load_budget> budgets_;                   ///< of services used so far
    std::unordered_map<run_id, std::unique_ptr<forward_run>> runs_; ///< running
    std::uint64_t next_run_ = 1;                                    ///< the next request's ID
    std::function<void()> idle_;                                    ///< see set_idle_hook()
};

} // namespace pollengrade
