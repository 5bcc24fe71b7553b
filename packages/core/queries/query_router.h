/** @file query_router.h Admits or refuses callers' requests, and runs them. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/queries/answer_type.h"
#include "core/queries/order_run.h"
#include "core/queries/run_id.h"
#include "core/queries/search_run.h"
#include "core/queries/service.h"
#include "core/upstreams/dispatcher.h"

namespace pollengrade {

/** Components of the node that a query router uses. */
struct router_parts {
    dispatcher& servers;                   ///< sends attempts; outlives the router
    timer_queue& timers;                   ///< the clock and its timers
    event_log& log;                        ///< the event log
    metrics& counts;                       ///< the counters
    std::function<std::uint64_t()> random; ///< random numbers
    std::function<wall_time()> wall_clock; ///< the wall clock, for the age of idempotency keys
    claim_store_hooks claims;              ///< the platform, for orders
    holder_count holders;                  ///< number of nodes that share each server's connections
};

/** All services and all running requests of one node. */
class query_router {
public:
    explicit query_router(router_parts parts);

    /**
     * Accepts a caller's request.
     * @param request the request
     * @param respond called exactly once, possibly before this returns, unless the request is abandoned
     * @return an ID for abandon()
     */
    run_id submit(caller_request request, answer_hook respond);
    /** Ends a search or lookup whose caller is gone; an order continues, because its outcome must be
     * recorded. */
    void abandon(run_id id);

    /** Puts a newer document in force. @return whether it is in force now. */
    bool apply_document(service_document document, object_version version);
    /** Puts newer snapshots of a service in force, or keeps them until the service's document arrives.
     * @return whether they were newer */
    bool apply_snapshots(const service_name& name, std::vector<shard_map> maps, object_version version);
    /** Sets the number of nodes that share each server's connections. */
    void set_holders(holder_count holders);

    /**
     * Limits all requests, as this node is stopping: one that isn't expected to end in time is refused at
     * once, and every one has its answer at @p last_answer.
     */
    void stop_by(time_point last_answer);
    /** Refuses new requests from now on, and calls @p done when no request is running any more. */
    void stop(std::function<void()> done);
    /** @return whether stop() has been called. */
    [[nodiscard]] bool is_stopping() const noexcept { return stopping_; }
    /** Marks the configuration as loaded; until then every request is refused. */
    void set_ready() { ready_ = true; }
    [[nodiscard]] bool is_ready() const noexcept { return ready_ && !stopping_; }

    [[nodiscard]] const std::map<service_name, service>& services() const noexcept { return services_; }
    /** @return number of running requests. */
    [[nodiscard]] std::size_t running() const noexcept { return searches_.size() + orders_.size(); }

private:
    void refuse(const caller_request& request, refusal_reason reason, duration retry_after,
                answer_hook& respond);
    void run_search(service& owner, caller_request request, time_point deadline, run_id id,
                    answer_hook respond);
    void run_order(service& owner, caller_request request, time_point deadline, run_id id,
                   answer_hook respond);
    [[nodiscard]] std::optional<duration> excess_wait(const service& owner, const shard_query& query,
                                                      time_point deadline) const;
    [[nodiscard]] stop_limit limit_of(const service_document& document, query_kind kind) const;
    void end_run(run_id id);
    void count_answer(const answer& reply, time_point started);

    router_parts parts_;                       ///< components of the node
    std::map<service_name, service> services_; ///< services with a document in force
    struct pending_snapshots {
        std::vector<shard_map> maps;
        object_version version;
    };
    std::map<service_name, pending_snapshots> pending_; ///< snapshots that arrived before their document
    std::unordered_map<run_id, std::unique_ptr<search_run>> searches_; ///< running searches and lookups
    std::unordered_map<run_id, std::unique_ptr<order_run>> orders_;    ///< running orders
    std::uint64_t next_run_ = 1;                                       ///< ID of the next request
    bool ready_ = false;                    ///< whether set_ready() has been called
    bool stopping_ = false;                 ///< whether stop() has been called
    std::optional<time_point> last_answer_; ///< see stop_by()
    std::function<void()> on_stopped_;      ///< called when no request is running any more
};

} // namespace pollengrade
