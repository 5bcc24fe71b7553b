/** @file cluster.h This node among the others: membership, and what is spread from node to node. */
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/base/throttled_action.h"
#include "core/cluster/config_gossip.h"
#include "core/cluster/membership.h"
#include "core/cluster/registry_sync.h"
#include "core/config/config_store.h"
#include "core/config/node_settings.h"
#include "core/queries/delegation.h"
#include "peer/kj_loop.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** What the cluster needs of its node. */
struct cluster_hooks {
    std::function<void()> completed;                           ///< all configuration is held
    std::function<void(std::span<const member>)> live_changed; ///< takes the live nodes, this one included
    /** Runs a query for another node; see peer_hooks. */
    std::function<run_id(const delegated_request&, std::function<void(delegated_answer)>)> run_query;
    std::function<void(run_id)> withdraw_query; ///< the other node does not wait any more
};

/** Everything between this node and the others. */
class cluster {
public:
    /**
     * @param settings what the node is told
     * @param clock the process's clock
     * @param log the event log
     * @param counts the counters
     * @param store configuration known
     * @param servers the registry known
     * @param random random numbers
     * @param hooks the node
     */
    cluster(const node_settings& settings, loop_clock& clock, event_log& log, metrics& counts,
            config_store& store, registry& servers, const std::function<std::uint64_t()>& random,
            cluster_hooks hooks);

    /** Listens for peers and joins. */
    tl::expected<void, listen_error> start();
    /** Tells others that this node is leaving. */
    void leave() { membership_.leave(); }
    /** Takes word of whether the platform's store answers. */
    void on_store_reached(bool reached);
    /**
     * Takes whether only some nodes wait for changes in the platform's store, and whether this is one of
     * them: they pass changes on.
     * @param store_watchers those that wait; empty when all do
     */
    void set_store_watchers(bool divided, bool is_store_watcher, std::vector<node_address> store_watchers);
    /** The registry has changed: other nodes are greeted soon, if they wait for word from here. */
    void announce();

    /** @return calls to other nodes. */
    [[nodiscard]] peer_client& calls() noexcept { return client_; }

    [[nodiscard]] const membership& nodes() const noexcept { return membership_; }
    [[nodiscard]] config_gossip& configuration() noexcept { return spread_; }
    /** @return whether this node watches the platform for its failure domain. */
    [[nodiscard]] bool is_relay() const;

private:
    void seek_peers_configuration();
    [[nodiscard]] std::vector<member> store_watcher_members() const;
    membership_hooks make_membership_hooks();
    config_gossip_hooks make_spread_hooks();
    registry_sync_hooks make_registry_hooks();
    peer_hooks make_peer_hooks();

    loop_clock& clock_;                        ///< the process's clock
    cluster_hooks hooks_;                      ///< the node
    config_store& store_;                      ///< configuration known
    registry& servers_;                        ///< the registry known
    kj_loop kj_loop_;                          ///< outlives all that uses promises
    peer_client client_;                       ///< calls to peers
    membership membership_;                    ///< which nodes there are
    config_gossip spread_;                     ///< configuration from and to peers
    registry_sync registry_;                   ///< the registry from peers
    peer_server server_;                       ///< calls from peers
    throttled_action live_update_;             ///< tells the node of live nodes, not of each alone
    node_address address_;                     ///< where peers are served
    bool is_routed_;                           ///< whether callers are served by the users' routes
    bool divided_ = false;                     ///< see set_store_watchers()
    bool is_store_watcher_ = true;             ///< see set_store_watchers()
    std::vector<node_address> store_watchers_; ///< see set_store_watchers()
    bool announcing_ = false;                  ///< whether a greeting is due
    bool reached_ = true;                      ///< whether the platform's store answers
    bool seeking_ = false;                     ///< whether seek_peers_configuration() is scheduled
};

} // namespace pollengrade
