/** @file frontend.h Interface of the frontends, which serve callers. */
#pragma once

#include <functional>
#include <span>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/cluster/member_type.h"
#include "core/config/config_store.h"
#include "core/config/server_entry.h"
#include "core/queries/delegation.h"
#include "core/queries/stop_schedule.h"
#include "net/http_listener.h"
#include "json/json_view.h"

namespace pollengrade {

/** Serves callers: through our own interface, or by the users' routes. */
class frontend {
public:
    frontend() = default;
    frontend(const frontend&) = delete;
    frontend& operator=(const frontend&) = delete;
    frontend(frontend&&) = delete;
    frontend& operator=(frontend&&) = delete;
    virtual ~frontend() = default;

    /** Starts listening for callers. */
    virtual tl::expected<void, listen_error> listen() = 0;
    /** Applies a configuration object. @return false if the object is rejected */
    virtual bool apply(const config_entry& entry) = 0;
    /** Handles a server's entry that was added to, changed in or removed from the registry. */
    virtual void on_server(const server_entry& entry, bool removed) = 0;
    /** Handles a change of the running nodes. @param nodes all running nodes, including this node */
    virtual void on_nodes(std::span<const member> nodes) = 0;
    /** @return whether only some nodes (store watchers) watch the platform's store and notify the others. */
    [[nodiscard]] virtual bool is_divided() const = 0;
    /** @return the store watchers; empty if all nodes watch the store. */
    [[nodiscard]] virtual std::vector<node_address> store_watchers() const = 0;
    /** @return whether this node watches the platform's store. */
    [[nodiscard]] virtual bool is_store_watcher() const = 0;
    /** Runs a query that another node delegated to this node. @return an ID for cancel_query() */
    virtual run_id run_query(const delegated_request& request,
                             std::function<void(delegated_answer)> respond) = 0;
    /** Cancels a delegated query, as the other node no longer waits for its answer. */
    virtual void cancel_query(run_id id) = 0;
    /** Called when this node holds all configuration and the registry, as needed to serve. */
    virtual void set_ready() = 0;
    /** @return whether the load balancer may send requests to this node. */
    [[nodiscard]] virtual bool is_ready() const = 0;
    /**
     * Starts a graceful shutdown: this node reports that it is not ready, and closes each caller's connection
     * after its reply. Requests that are expected to end in time are still served; the others are refused.
     */
    virtual void start_leaving(const stop_schedule& schedule) = 0;
    /** Stops when no request is running. @param done called once, when stopped */
    virtual void stop(std::function<void()> done) = 0;
    /** Adds this frontend's part of the operators' status document. */
    virtual void describe(json_writer& out) const = 0;
    /** @return the number of running requests. */
    [[nodiscard]] virtual std::size_t running() const = 0;
};

} // namespace pollengrade
