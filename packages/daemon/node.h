/** @file node.h One node: everything that a daemon is made of. */
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/config/config_store.h"
#include "core/config/node_settings.h"
#include "core/queries/query_router.h"
#include "daemon/cluster.h"
#include "http/caller_server.h"
#include "http/operator_server.h"
#include "http/platform_client.h"
#include "http/upstream_client.h"
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

private:
    bool apply(const config_entry& entry);
    void on_configured();
    void poll_vms();
    void end_when_idle();
    [[nodiscard]] std::string status() const;
    [[nodiscard]] bool is_ready() const { return router_.is_ready() && !leaving_; }

    node_settings settings_;                ///< what the node is told
    loop_clock& clock_;                     ///< the process's clock
    std::function<std::uint64_t()> random_; ///< random numbers
    event_log log_;                         ///< the time line
    metrics counts_;                        ///< the counters
    platform_client platform_;              ///< the object API
    upstream_client upstreams_;             ///< the network towards servers
    query_router router_;                   ///< services and running requests
    config_store store_;                    ///< configuration known
    cluster cluster_;                       ///< the other nodes
    caller_server callers_;                 ///< the front door
    operator_server operators_;             ///< metrics, status, time line
    bool leaving_ = false;                  ///< whether stop() has been called
    std::function<void()> stopped_;         ///< called when nothing is left
};

} // namespace pollengrade
