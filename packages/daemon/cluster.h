/** @file cluster.h This node among the others: membership, spread of configuration, duty as a relay. */
#pragma once

#include <cstdint>
#include <functional>

#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/cluster/config_spread.h"
#include "core/cluster/membership.h"
#include "core/config/config_store.h"
#include "core/config/node_settings.h"
#include "daemon/config_feed.h"
#include "http/platform_client.h"
#include "peer/kj_loop.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** What the cluster needs of its node. */
struct cluster_hooks {
    std::function<void()> completed;                 ///< all configuration is held
    std::function<void(std::uint32_t)> live_changed; ///< takes the number of live nodes, this one included
};

/** Everything between this node and the others. */
class cluster {
public:
    cluster(const node_settings& settings, loop_clock& clock, event_log& log, metrics& counts,
            platform_client& platform, config_store& store, const std::function<std::uint64_t()>& random,
            cluster_hooks hooks);

    /** Listens for peers, joins, and reads configuration. */
    tl::expected<void, listen_error> start();
    /** Tells others that this node is leaving. */
    void leave() { membership_.leave(); }

    [[nodiscard]] const membership& nodes() const noexcept { return membership_; }
    /** @return whether this node watches the platform for its failure domain. */
    [[nodiscard]] bool is_relay() const;

private:
    void on_changed();
    void seek_peers_configuration();
    membership_hooks make_membership_hooks();
    spread_hooks make_spread_hooks();
    peer_hooks make_peer_hooks();

    loop_clock& clock_;     ///< the process's clock
    cluster_hooks hooks_;   ///< the node
    config_store& store_;   ///< configuration known
    kj_loop kj_loop_;       ///< outlives all that uses promises
    peer_client client_;    ///< calls to peers
    membership membership_; ///< which nodes there are
    config_spread spread_;  ///< configuration from and to peers
    config_feed feed_;      ///< configuration from the platform
    peer_server server_;    ///< calls from peers
    node_address address_;  ///< where peers are served
};

} // namespace pollengrade
