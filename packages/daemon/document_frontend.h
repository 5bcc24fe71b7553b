/** @file document_frontend.h Frontend for our own interface, configured by service documents. */
#pragma once

#include "core/config/node_settings.h"
#include "core/queries/query_router.h"
#include "daemon/frontend.h"
#include "http/caller_server.h"

namespace pollengrade {

/** Serves searches, lookups and orders for services that have a service document. */
class document_frontend final : public frontend {
public:
    /**
     * @param settings the node's settings
     * @param poller socket poller of the main loop
     * @param memory bounds what callers' connections hold
     * @param parts components that requests use
     */
    document_frontend(const node_settings& settings, socket_poller& poller, caller_memory& memory,
                      router_parts parts);

    tl::expected<void, listen_error> listen() override { return callers_.listen(address_); }
    bool apply(const config_entry& entry) override;
    void on_server(const server_entry& entry, bool removed) override;
    void on_nodes(std::span<const member> nodes) override {
        router_.set_holders(holder_count{static_cast<std::uint32_t>(nodes.size())});
    }
    [[nodiscard]] bool is_divided() const override { return false; }
    [[nodiscard]] std::vector<node_address> store_watchers() const override { return {}; }
    [[nodiscard]] bool is_store_watcher() const override { return true; }
    run_id run_query(const delegated_request& request,
                     std::function<void(delegated_answer)> respond) override;
    void cancel_query(run_id) override {}
    void set_ready() override { router_.set_ready(); }
    [[nodiscard]] bool is_ready() const override { return router_.is_ready() && !leaving_; }
    void start_leaving(const stop_schedule& schedule) override;
    void stop(std::function<void()> done) override;
    void describe(json_writer& out) const override;
    [[nodiscard]] std::size_t running() const override { return router_.running(); }

private:
    void end_when_idle();

    dispatcher& servers_;           ///< the upstreams, and attempts sent to them
    timer_queue& timers_;           ///< clock and timers
    node_address address_;          ///< address of the callers' listener
    query_router router_;           ///< services and running requests
    caller_server callers_;         ///< HTTP server for callers
    bool leaving_ = false;          ///< see start_leaving()
    std::function<void()> stopped_; ///< see stop()
};

} // namespace pollengrade
