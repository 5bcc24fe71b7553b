/** @file node.h One node of the tier, with all components of the daemon. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/cluster/object_watcher.h"
#include "core/config/config_store.h"
#include "core/config/node_settings.h"
#include "core/upstreams/dispatcher.h"
#include "core/upstreams/registry.h"
#include "daemon/cluster.h"
#include "daemon/frontend.h"
#include "http/operator_server.h"
#include "net/caller_memory.h"
#include "net/upstream_network.h"
#include "platform/platform_client.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** One node of the tier. All nodes run the same code. */
class node {
public:
    /**
     * @param settings the node's settings
     * @param clock clock and timers of the main loop
     * @param random source of random numbers
     */
    node(node_settings settings, loop_clock& clock, std::function<std::uint64_t()> random);

    /** Starts serving and reading configuration. */
    tl::expected<void, listen_error> start();
    /**
     * Stops gracefully: requests in flight may complete within the grace time.
     * @param done called once, when stopped
     */
    void stop(std::function<void()> done);
    /**
     * Handles settings that were read again, and logs whether they need a restart: the addresses for callers
     * and peers cannot change in a running node.
     */
    void reload(const node_settings& settings);

    /** @return the event log, so that a sink for log lines can be set. */
    [[nodiscard]] event_log& log() noexcept { return log_; }

private:
    std::unique_ptr<frontend> make_frontend();
    delegation_hooks make_delegation_hooks();
    void update_store_watchers();
    bool apply(const config_entry& entry);
    void add_watcher(object_kind kind, duration min_interval);
    void on_objects_listed(object_kind kind, const object_list& list);
    void on_objects_changed(object_kind kind, const object_changes& changes);
    void add_config_entry(object_kind kind, const stored_object& object, std::vector<config_entry>& entries);
    void on_store_reached(bool reached);
    void on_store_confirmed();
    void check_complete();
    void on_configured();
    void end();
    [[nodiscard]] std::string status() const;

    node_settings settings_;                                ///< the node's settings
    loop_clock& clock_;                                     ///< clock and timers of the main loop
    std::function<std::uint64_t()> random_;                 ///< source of random numbers
    event_log log_;                                         ///< events: decisions and changes of state
    metrics counts_;                                        ///< counters
    socket_poller poller_;                                  ///< socket poller of the main loop
    platform_client platform_;                              ///< client of the platform's store
    reply_memory replies_;                                  ///< bounds the bytes of servers' replies
    caller_memory caller_memory_;                           ///< bounds the bytes held for callers
    std::unique_ptr<upstream_network> network_;             ///< connections to servers
    dispatcher servers_;                                    ///< the upstreams, and attempts sent to them
    registry registry_;                                     ///< registry of the servers' entries
    config_store store_;                                    ///< local configuration
    std::unique_ptr<frontend> frontend_;                    ///< serves callers
    cluster cluster_;                                       ///< connects this node to the other nodes
    std::vector<std::unique_ptr<object_watcher>> watchers_; ///< one for each kind of object
    std::vector<object_watcher*> shared_;                   ///< of objects that nodes pass on to each other
    operator_server operators_;                             ///< serves metrics, status and event log
    bool leaving_ = false;                                  ///< whether stop() has been called
    std::function<void()> stopped_;                         ///< see stop()
};

} // namespace pollengrade
