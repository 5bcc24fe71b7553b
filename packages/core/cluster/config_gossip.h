/** @file config_gossip.h Distributes configuration among nodes by push gossip, repaired by pulls. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/cluster/member_type.h"
#include "core/config/config_store.h"

namespace pollengrade {

/** The version of an object that a node holds. */
struct config_version {
    config_key key;         ///< the object
    object_version version; ///< the version held
};

/** A node's reply to a pull. */
struct pull_reply {
    std::vector<config_entry> entries; ///< entries that the requester lacks or holds in an older version
    bool complete = false;             ///< whether the replying node holds all configuration
};

/** Network callbacks of config_gossip. Each pull calls back exactly once, in bounded time. */
struct config_gossip_hooks {
    using pulled = std::function<void(std::optional<pull_reply>)>;

    std::function<std::vector<node_address>(std::size_t)> random_peers; ///< live peers, chosen at random
    /** Live peers of this failure domain, chosen at random; of all domains if this one has no other node. */
    std::function<std::vector<node_address>(std::size_t)> random_local_peers;
    /** @return whether a node is in another failure domain; traffic between domains is charged. */
    std::function<bool(const node_address&)> is_cross_domain;
    std::function<void(const node_address&, const std::vector<config_entry>&)>
        push; ///< sends entries, best effort
    std::function<void(const node_address&, const std::vector<config_version>&, pulled)>
        pull; ///< requests entries that are missing from the given versions, or newer
    /** Called when an object is ignored because a later version is held; takes the version held. */
    std::function<void(const config_entry&, object_version)> outdated;
    std::function<void()> completed; ///< called when all configuration was first received from a peer
};

/**
 * A node pushes new versions at once to a few peers, each of which does the same. Versions that a push missed
 * are pulled when a probe shows that the digests of two nodes differ. Modelled in models/config.pml.
 *
 * Designed for documents of tens of kilobytes, many versions within seconds and hundreds of nodes. Where
 * nodes of each failure domain read the platform, updates spread within the domains; a node pulls from
 * another domain only if its own domain does not deliver the update within a short time.
 */
class config_gossip {
public:
    /**
     * @param timers clock and timers
     * @param store local configuration
     * @param counts counters
     * @param push_fanout number of peers that each update is pushed to
     * @param hooks network callbacks
     */
    config_gossip(timer_queue& timers, config_store& store, metrics& counts, std::size_t push_fanout,
                  config_gossip_hooks hooks);

    /** Changes the number of peers that updates are pushed to; 0 if every node reads the platform. */
    void set_push_fanout(std::size_t count) { push_fanout_ = count; }
    /** Sets whether updates are exchanged within this failure domain first. */
    void set_local_first(bool local_first) { local_first_ = local_first; }
    /** Applies objects from the platform or a peer, and pushes those that are not stale to peers. */
    void take(const std::vector<config_entry>& entries);
    /** Compares a peer's configuration digest with the local one, and pulls if they differ. */
    void on_gossip(const gossip_message& from);
    /** Pulls from a peer that is known to hold newer objects, after a pull that is in progress, and from
     * others if that fails. */
    void pull_from(const node_address& peer);
    /** Pulls from a random peer; used by a node that starts while the platform is down. */
    void pull_from_peers();
    /** @return the entries that a peer holding the versions @p known lacks. */
    [[nodiscard]] pull_reply answer_pull(const std::vector<config_version>& known) const;
    /** @return the version held of every object. */
    [[nodiscard]] std::vector<config_version> known() const;
    /** Records that this node holds all configuration. */
    void set_complete() { complete_ = true; }
    [[nodiscard]] bool is_complete() const noexcept { return complete_; }

private:
    [[nodiscard]] bool lacks(const gossip_message& from) const;
    void begin_pull(const node_address& from);
    void pull(const node_address& from);

    timer_queue& timers_;                   ///< clock and timers
    config_store& store_;                   ///< local configuration
    metrics& counts_;                       ///< counters
    std::size_t push_fanout_;               ///< see config_gossip()
    config_gossip_hooks hooks_;             ///< network callbacks
    bool local_first_ = false;              ///< see set_local_first()
    bool complete_ = false;                 ///< whether this node holds all configuration
    bool pulling_ = false;                  ///< whether a pull is in progress; at most one is
    std::optional<node_address> next_pull_; ///< the peer to pull from after the pull that is in progress
    std::uint32_t retries_left_ = 0;        ///< remaining pulls from other peers after a failed one
    std::optional<timer_id>
        remote_check_timer_; ///< check whether this domain has delivered what another one holds
};

} // namespace pollengrade
