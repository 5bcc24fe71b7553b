/** @file node.h One node: everything that a daemon is made of. */
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
#include "daemon/front.h"
#include "http/operator_server.h"
#include "net/upstream_network.h"
#include "platform/platform_client.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** One node of the tier; all nodes are the same. */
class node {
public:
    /**
     * @param settings what the node is told
     * @param clock the process's clock
     * @param random random numbers
     */
    node(node_settings settings, loop_clock& clock, std::function<std::uint64_t()> random);

    /** Starts to serve and to read configuration. */
    tl::expected<void, listen_error> start();
    /** Stops gracefully: no request in flight is cut off. @param done called when nothing is left */
    void stop(std::function<void()> done);
    /** Takes settings read again; what cannot change in a running node stays as it is. */
    void reload(const node_settings& settings);

    /** @return the event log, for the sink of log lines. */
    [[nodiscard]] event_log& log() noexcept { return log_; }

private:
    std::unique_ptr<front> make_front();
    delegation_hooks make_delegation_hooks();
    void update_store_watchers();
    bool apply(const config_entry& entry);
    void add_feed(object_kind kind, duration rest);
    void on_feed_objects(object_kind kind, const object_list& list);
    void on_feed_changes(object_kind kind, const object_changes& changes);
    void take_configuration(object_kind kind, const stored_object& object,
                            std::vector<config_entry>& entries);
    void on_store_reached(bool reached);
    void check_complete();
    void on_configured();
    void end();
    [[nodiscard]] std::string status() const;

    node_settings settings_;                             ///< what the node is told
    loop_clock& clock_;                                  ///< the process's clock
    std::function<std::uint64_t()> random_;              ///< random numbers
    event_log log_;                                      ///< decisions and changes of state
    metrics counts_;                                     ///< the counters
    socket_poller poller_;                               ///< the loop's sockets
    platform_client platform_;                           ///< the platform's store
    std::unique_ptr<upstream_network> network_;          ///< connections to servers
    dispatcher servers_;                                 ///< servers and attempts
    registry registry_;                                  ///< what servers say of themselves
    config_store store_;                                 ///< configuration known
    std::unique_ptr<front> front_;                       ///< towards callers
    cluster cluster_;                                    ///< the other nodes
    std::vector<std::unique_ptr<object_watcher>> feeds_; ///< from the platform's store
    operator_server operators_;                          ///< metrics, status, time line
    bool leaving_ = false;                               ///< whether stop() has been called
    std::function<void()> stopped_;                      ///< called when nothing is left
};

} // namespace pollengrade
