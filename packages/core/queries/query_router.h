/** @file query_router.h Takes callers' requests, admits or refuses them, and runs them. */
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

/** What a query router is built from. */
struct router_parts {
    dispatcher& servers;                   ///< sends attempts; outlives the router
    timer_queue& timers;                   ///< the clock
    event_log& log;                        ///< the time line
    metrics& counts;                       ///< the counters
    std::function<std::uint64_t()> random; ///< random numbers
    std::function<wall_time()> wall_clock; ///< the wall clock, for the age of idempotency keys
    claim_store_hooks claims;              ///< the platform, for orders
    holder_count holders;                  ///< nodes that share each server's connections
};

/** Every service and every running request of one node. */
class query_router {
public:
    explicit query_router(router_parts parts);

    /**
     * Takes a request.
     * @param request what is asked
     * @param respond called once, maybe at once, unless the request is abandoned
     * @return an ID that abandon() takes
     */
    run_id submit(caller_request request, answer_hook respond);
    /** Ends a search whose caller is gone; an order runs on, since its outcome must be recorded. */
    void abandon(run_id id);

    /** Puts a document in force unless a later one is. @return whether it is in force now. */
    bool apply_document(service_document document, object_version version);
    /** Puts a service's snapshots in force unless later ones are. @return whether they are in force now. */
    bool apply_snapshots(const service_name& name, std::vector<shard_map> maps, object_version version);
    /** Takes the number of nodes that share each server's connections. */
    void set_holders(holder_count holders);

    /** Refuses new requests from now on, and calls @p done when none runs any more. */
    void stop(std::function<void()> done);
    /** @return whether stop() has been called. */
    [[nodiscard]] bool is_stopping() const noexcept { return stopping_; }
    /** Says that the node holds its configuration; until then every request is refused. */
    void set_ready() { ready_ = true; }
    [[nodiscard]] bool is_ready() const noexcept { return ready_ && !stopping_; }

    [[nodiscard]] const std::map<service_name, service>& services() const noexcept { return services_; }
    /** @return requests running now. */
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
    void end_run(run_id id);
    void count_answer(const answer& reply, time_point started);

    router_parts parts_;                       ///< what the node shares
    std::map<service_name, service> services_; ///< documents in force
    struct pending_snapshots {
        std::vector<shard_map> maps;
        object_version version;
    };
    std::map<service_name, pending_snapshots> pending_snapshots_;      ///< snapshots ahead of their document
    std::unordered_map<run_id, std::unique_ptr<search_run>> searches_; ///< running searches and lookups
    std::unordered_map<run_id, std::unique_ptr<order_run>> orders_;    ///< running orders
    std::uint64_t next_run_ = 1;                                       ///< the next request's ID
    bool ready_ = false;                                               ///< whether requests are taken
    bool stopping_ = false;                                            ///< whether stop() has been called
    std::function<void()> on_stopped_;                                 ///< called when none runs any more
};

} // namespace pollengrade
