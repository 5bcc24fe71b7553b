/** @file cluster.h Membership, and exchange of configuration and registry between nodes. */
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <utility>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/base/throttled_action.h"
#include "core/cluster/config_gossip.h"
#include "core/cluster/membership.h"
#include "core/cluster/registry_sync.h"
#include "core/cluster/store_freshness.h"
#include "core/cluster/store_watch_order.h"
#include "core/config/config_store.h"
#include "core/config/node_settings.h"
#include "core/queries/delegation.h"
#include "peer/kj_loop.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** Callbacks that cluster makes to its node. */
struct cluster_hooks {
    /** Called when all configuration was received from a peer, or a registry update was applied. */
    std::function<void()> completed;
    std::function<void(std::span<const member>)> live_changed; ///< takes the live nodes, including this node
    /** Runs a query for another node; see peer_hooks. */
    std::function<run_id(const delegated_request&, std::function<void(delegated_answer)>)> run_query;
    std::function<void(run_id)> cancel_query; ///< cancels a query; see peer_hooks
    std::function<void()> check_store;        ///< checks at the store that what nodes pass on is current
    std::function<void()> watchers_changed;   ///< called when this node begins to watch the store for others
};

/** Connects this node to the other nodes of the cluster. */
class cluster {
public:
    /**
     * @param settings the node's settings
     * @param clock clock and timers of the main loop
     * @param log the event log
     * @param counts counters
     * @param store local configuration
     * @param servers local registry
     * @param random source of random numbers
     * @param hooks callbacks to the node
     */
    cluster(const node_settings& settings, loop_clock& clock, event_log& log, metrics& counts,
            config_store& store, registry& servers, const std::function<std::uint64_t()>& random,
            cluster_hooks hooks);

    /** Listens for peers and joins the cluster. */
    tl::expected<void, listen_error> start();
    /** Joins through other seeds from now on, see membership. */
    void set_seeds(std::vector<node_address> seeds) { membership_.set_seeds(std::move(seeds)); }
    /** Notifies other nodes that this node is leaving. */
    void leave() { membership_.leave(); }
    /** Handles a report of whether the platform's store answers. */
    void on_store_reached(bool reached);
    /**
     * Sets which nodes watch the platform's store. If only some nodes do, they pass changes on to the others.
     * @param divided whether only some nodes watch the store
     * @param is_store_watcher whether this node watches the store
     * @param store_watchers the nodes that watch the store; empty if all nodes do
     */
    void set_store_watchers(bool divided, bool is_store_watcher,
                            std::span<const node_address> store_watchers);
    /** Records that the store confirmed all that nodes pass on to each other. */
    void on_store_confirmed(time_point asked_at) { freshness_.on_store_answer(asked_at); }
    /**
     * Takes what a holder knew when it answered a query, and pulls newer routes that the answer follows.
     * @param asked_at when the holder was called
     */
    void on_holder_answer(const node_address& holder, const delegated_answer& answer, time_point asked_at);
    /** @return the age of the store's newest confirmation, from this node or another one. */
    [[nodiscard]] std::optional<duration> confirmation_age() const { return freshness_.age(); }
    /** @return whether this node watches the store in place of the store watchers. */
    [[nodiscard]] bool watches_for_others() const { return freshness_.is_acting(); }
    /** Notifies other nodes after a short delay of what has changed in the store, if they rely on this node.
     */
    void announce();

    /** @return the client for calls to other nodes. */
    [[nodiscard]] peer_client& calls() noexcept { return client_; }

    [[nodiscard]] const membership& nodes() const noexcept { return membership_; }
    [[nodiscard]] config_gossip& configuration() noexcept { return config_gossip_; }
    /** @return whether this node is a relay: it watches the platform for its failure domain. */
    [[nodiscard]] bool is_relay() const { return relay_rank().has_value(); }

private:
    void pull_config_until_current();
    [[nodiscard]] std::vector<member> store_watcher_members() const;
    [[nodiscard]] std::vector<node_address> relays() const;
    [[nodiscard]] std::optional<std::size_t> relay_rank() const;
    [[nodiscard]] std::vector<node_address> nodes_to_announce_to() const;
    [[nodiscard]] node_knowledge knowledge() const;
    [[nodiscard]] object_version routes_version_held() const;
    void take_confirmation(const node_knowledge& peer, time_point asked_at);
    void ask_watcher(std::uint32_t asked_before);
    void on_gossip(const gossip_message& from, std::optional<time_point> asked_at);
    freshness_hooks make_freshness_hooks();
    membership_hooks make_membership_hooks();
    config_gossip_hooks make_gossip_hooks();
    registry_sync_hooks make_registry_hooks();
    peer_hooks make_peer_hooks();

    loop_clock& clock_;                   ///< clock and timers of the main loop
    event_log& log_;                      ///< the event log
    metrics& counts_;                     ///< counters
    cluster_hooks hooks_;                 ///< callbacks to the node
    config_store& store_;                 ///< local configuration
    registry& servers_;                   ///< local registry
    kj_loop kj_loop_;                     ///< must outlive all members that use promises
    peer_client client_;                  ///< calls to peers
    membership membership_;               ///< the known nodes and their states
    config_gossip config_gossip_;         ///< exchanges configuration with peers
    registry_sync registry_;              ///< pulls the registry from peers
    store_freshness freshness_;           ///< when the store last confirmed what this node knows
    peer_server server_;                  ///< serves calls from peers
    throttled_action live_update_;        ///< calls live_changed once for several changes
    store_watch_order watch_order_;       ///< which nodes watch the store; the first to check comes first
    node_address address_;                ///< address of the listener for peers
    bool is_routed_;                      ///< whether the node serves callers by the users' routes
    bool divided_ = false;                ///< see set_store_watchers()
    bool is_store_watcher_ = true;        ///< see set_store_watchers()
    bool announcement_scheduled_ = false; ///< whether announce() has scheduled a notification
    bool store_reached_ = true;           ///< whether the platform's store answers
    bool pull_scheduled_ = false;         ///< whether the next pull is scheduled
};

} // namespace pollengrade
