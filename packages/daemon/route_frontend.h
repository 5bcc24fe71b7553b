/** @file route_frontend.h Frontend for the users' interface, which forwards requests by routes. */
#pragma once

#include <unordered_map>

#include "core/base/throttled_action.h"
#include "core/cluster/holders.h"
#include "core/config/node_settings.h"
#include "core/queries/forwarder.h"
#include "core/upstreams/server_pool.h"
#include "daemon/frontend.h"
#include "net/http_listener.h"

namespace pollengrade {

/** Forwards requests by the routes in force, and answers the load balancer's readiness checks. */
class route_frontend final : public frontend {
public:
    /**
     * @param settings the node's settings
     * @param poller socket poller of the main loop
     * @param memory bounds what callers' connections hold
     * @param context components that all requests share
     * @param random source of random numbers
     * @param network network operations for delegating queries to other nodes
     * @param behind called when another node turns out to hold newer routes
     * @param store_watchers_changed called when the set of holders may have changed
     */
    route_frontend(const node_settings& settings, socket_poller& poller, caller_memory& memory,
                   run_context context, const std::function<std::uint64_t()>& random,
                   delegation_hooks network, std::function<void()> behind,
                   std::function<void()> store_watchers_changed);

    tl::expected<void, listen_error> listen() override;
    bool apply(const config_entry& entry) override;
    void on_server(const server_entry& entry, bool removed) override;
    void on_nodes(std::span<const member> nodes) override;
    [[nodiscard]] bool is_divided() const override { return holders_.is_divided(); }
    [[nodiscard]] std::vector<node_address> store_watchers() const override { return holders_.all_holders(); }
    [[nodiscard]] bool is_store_watcher() const override { return holders_.is_holder(); }
    run_id run_query(const delegated_request& request,
                     std::function<void(delegated_answer)> respond) override {
        return forwarder_.submit_delegated(request, std::move(respond));
    }
    void cancel_query(run_id id) override { forwarder_.abandon(id); }
    void set_ready() override { configured_ = true; }
    [[nodiscard]] bool is_ready() const override;
    void start_leaving(const stop_schedule& schedule) override;
    void stop(std::function<void()> done) override;
    void describe(json_writer& out) const override;
    [[nodiscard]] std::size_t running() const override { return forwarder_.running(); }

private:
    void on_request(exchange_id id, request_message message);
    void on_caller_gone(exchange_id id);
    [[nodiscard]] caller_limits limits() const;
    [[nodiscard]] sharing_scope scope_of(const service_name& service) const;
    [[nodiscard]] retry_budget_limits budget_of(const service_name& service) const;
    void compute_holders();
    void end_when_idle();

    node_address self_;               ///< address of this node for its peers
    node_address callers_address_;    ///< address of the callers' listener
    node_address readiness_address_;  ///< address of the load balancer's readiness checks
    retry_budget_settings budget_;    ///< budget of hedges and retries, shared by all nodes
    run_context context_;             ///< components that all requests share
    std::vector<member> nodes_;       ///< running nodes
    holder_table holders_;            ///< which nodes hold the connections of which services
    throttled_action holders_update_; ///< runs compute_holders() once for several changes of nodes or servers
    std::function<void()> store_watchers_changed_; ///< see route_frontend()
    forwarder forwarder_;                          ///< routes and running requests
    server_pool pool_;                             ///< the servers of routed services
    std::unordered_map<exchange_id, run_id> runs_; ///< runs of requests not answered yet
    http_listener callers_;                        ///< HTTP listener for callers
    http_listener readiness_;                      ///< HTTP listener for readiness checks
    bool configured_ = false;                      ///< see set_ready()
    bool leaving_ = false;                         ///< see start_leaving()
    std::function<void()> stopped_;                ///< see stop()
};

} // namespace pollengrade
