/** @file config_spread.h Spreads configuration from node to node, and heals what was lost on the way. */
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

/** What one object is known at. */
struct config_version {
    config_key key;         ///< the object
    object_version version; ///< the version known
};

/** A node's reply to a pull. */
struct pull_reply {
    std::vector<config_entry> entries; ///< what the asker lacks
    bool complete = false;             ///< whether the replier holds all configuration
};

/** What spreading needs of the network. Each pull ends in one call of its hook, in bounded time. */
struct spread_hooks {
    using pulled = std::function<void(std::optional<pull_reply>)>;

    std::function<std::vector<node_address>(std::size_t)> random_peers; ///< other live nodes, at random
    /** The same of this failure domain; of all domains where it has no others. */
    std::function<std::vector<node_address>(std::size_t)> random_local_peers;
    /** @return whether a node is of another failure domain: what it sends is paid for. */
    std::function<bool(const node_address&)> is_cross_domain;
    std::function<void(const node_address&, const std::vector<config_entry>&)> push; ///< best effort
    std::function<void(const node_address&, const std::vector<config_version>&, pulled)>
        pull;                        ///< asks for news
    std::function<void()> completed; ///< all configuration has been received from a peer
};

/**
 * New versions are pushed on at once to a few nodes, each of which does the same; what a push missed is
 * pulled when a probe shows that two nodes' digests differ. Modelled in models/config.pml.
 *
 * Load it answers: texts of tens of kilobytes, many versions within seconds, hundreds of nodes. Where nodes
 * of each failure domain read the platform, news spreads within the domains; from another one it is pulled
 * only when the own domain has not brought it soon.
 */
class config_spread {
public:
    /**
     * @param timers the clock
     * @param store configuration known
     * @param counts the counters
     * @param push_fanout nodes that each news is pushed on to
     * @param hooks the network
     */
    config_spread(timer_queue& timers, config_store& store, metrics& counts, std::size_t push_fanout,
                  spread_hooks hooks);

    /** Changes the number of nodes that news is pushed on to; 0 where every node reads it from the platform.
     */
    void set_push_fanout(std::size_t count) { push_fanout_ = count; }
    /** Sets whether news is looked for in this failure domain first. */
    void set_near(bool is_near) { near_ = is_near; }
    /** Takes objects from the platform or a peer, and pushes on what is news. */
    void take(const std::vector<config_entry>& entries);
    /** Looks at a peer's greeting, and pulls when its configuration differs. */
    void on_gossip(const gossip_message& from);
    /** Pulls from a peer drawn at random; used by a node that starts while the platform is down. */
    void pull_from_peers();
    /** @return what a peer that knows @p known lacks. */
    [[nodiscard]] pull_reply answer_pull(const std::vector<config_version>& known) const;
    /** @return every object's version. */
    [[nodiscard]] std::vector<config_version> known() const;
    /** Says that this node holds all configuration. */
    void set_complete() { complete_ = true; }
    [[nodiscard]] bool is_complete() const noexcept { return complete_; }

private:
    [[nodiscard]] bool lacks(const gossip_message& from) const;
    void begin_pull(const node_address& from);
    void pull(const node_address& from);

    timer_queue& timers_;            ///< the clock
    config_store& store_;            ///< configuration known
    metrics& counts_;                ///< the counters
    std::size_t push_fanout_;        ///< see config_spread()
    spread_hooks hooks_;             ///< the network
    bool near_ = false;              ///< see set_near()
    bool complete_ = false;          ///< whether all configuration is held
    bool pulling_ = false;           ///< one pull at a time
    std::uint32_t retries_left_ = 0; ///< pulls still made after a lost one
    std::optional<timer_id> doubt_;  ///< pending look at whether this domain has brought what another has
};

} // namespace pollengrade
