/** @file registry_sync.h Pulls the registry from peers when the platform's store does not deliver it. */
#pragma once

#include <algorithm>
#include <functional>
#include <optional>

#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/cluster/member_type.h"
#include "core/upstreams/registry.h"

namespace pollengrade {

/** Network and store callbacks of registry_sync. */
struct registry_sync_hooks {
    using pulled = std::function<void(std::optional<registry_update>)>;

    /** Requests a node's registry if later than a revision; calls back exactly once, in bounded time. */
    std::function<void(const node_address&, object_version, pulled)> pull;
    /** @return another live node, chosen at random; nullopt when none is known. */
    std::function<std::optional<node_address>()> draw;
    /** Called after a peer's update was applied. */
    std::function<void()> update_applied;
};

/**
 * While the store answers, its watch keeps the registry current, and the node pulls from a peer with
 * a later revision only if the watch stays behind, because its long poll may have stalled. While the store
 * does not answer, the node pulls from a random peer periodically.
 */
class registry_sync {
public:
    registry_sync(timer_queue& timers, metrics& counts, registry& servers, registry_sync_hooks hooks);

    /** Records whether the store answers, after each call to it. */
    void on_store_reached(bool reached);
    /** Records that the store answered a peer at a time, which shows that it was not away then. */
    void on_store_answered_peer(time_point at) { last_answer_ = std::max(last_answer_, at); }
    /** Sets whether this node watches the store itself; if not, every change comes from peers. */
    void set_watching_store(bool is_watching) { watching_store_ = is_watching; }
    /** Compares the registry revision of a peer with the local one, and pulls if the peer is ahead, after a
     * delay if the store answers and is watched. */
    void on_gossip(const gossip_message& from);

private:
    void pull(const node_address& peer);
    void pull_periodically();

    timer_queue& timers_;                     ///< timers
    metrics& counts_;                         ///< counters
    registry& servers_;                       ///< the registry kept current
    registry_sync_hooks hooks_;               ///< network callbacks
    bool reached_ = true;                     ///< whether the store answers
    time_point last_answer_{};                ///< when it last answered, this node or a peer, as far as known
    bool watching_store_ = true;              ///< see set_watching_store()
    bool pulling_ = false;                    ///< whether a pull is in progress; at most one is
    std::optional<timer_id> pull_timer_;      ///< the next pull_periodically()
    std::optional<timer_id> lag_check_timer_; ///< the check whether the watch is still behind
};

} // namespace pollengrade
