/** @file route_front.h The users' interface: requests are forwarded by routes. */
#pragma once

#include <unordered_map>

#include "core/base/throttled_action.h"
#include "core/cluster/holders.h"
#include "core/config/node_settings.h"
#include "core/queries/forwarder.h"
#include "core/upstreams/server_pool.h"
#include "daemon/front.h"
#include "net/http_listener.h"

namespace pollengrade {

/** Forwards requests by the routes in force, and tells the balancer whether this node wants traffic. */
class route_front final : public front {
public:
    /**
     * @param settings what the node is told
     * @param poller the loop's sockets
     * @param context what requests share
     * @param random random numbers
     * @param network calls to other nodes
     * @param behind called when another node knows later routes
     * @param store_watchers_changed called when other nodes than before may be the holders
     */
    route_front(const node_settings& settings, socket_poller& poller, run_context context,
                const std::function<std::uint64_t()>& random, delegation_hooks network,
                std::function<void()> behind, std::function<void()> store_watchers_changed);

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
    void withdraw_query(run_id id) override { forwarder_.abandon(id); }
    void set_ready() override { configured_ = true; }
    [[nodiscard]] bool is_ready() const override;
    void start_leaving() override;
    void stop(std::function<void()> done) override;
    void describe(json_writer& out) const override;
    [[nodiscard]] std::size_t running() const override { return forwarder_.running(); }

private:
    void on_request(exchange_id id, request_message message);
    void on_gone(exchange_id id);
    [[nodiscard]] caller_limits limits() const;
    [[nodiscard]] sharing_scope form_of(const service_name& service) const;
    [[nodiscard]] retry_budget_limits budget_of(const service_name& service) const;
    void compute_holders();
    void end_when_idle();

    node_address self_;                            ///< this node among the others
    node_address callers_address_;                 ///< where callers are served
    node_address readiness_address_;               ///< where the balancer asks
    retry_budget_settings budget_;                 ///< hedges and retries of all nodes
    run_context context_;                          ///< what requests share
    std::vector<member> nodes_;                    ///< that are running
    holder_table holders_;                         ///< which of them hold which connections
    throttled_action holders_update_;              ///< compute_holders(), not for each node or server alone
    std::function<void()> store_watchers_changed_; ///< see route_front()
    forwarder forwarder_;                          ///< routes and running requests
    server_pool pool_;                             ///< the servers of routed services
    std::unordered_map<exchange_id, run_id> runs_; ///< of requests not answered yet
    http_listener callers_;                        ///< the front door
    http_listener readiness_;                      ///< the balancer's door
    bool configured_ = false;                      ///< whether routes and registry are held
    bool leaving_ = false;                         ///< see start_leaving()
    std::function<void()> stopped_;                ///< see stop()
};

} // namespace pollengrade
