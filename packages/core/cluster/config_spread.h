/** @file config_spread.h Spreads configuration from node to node, and heals what was lost on the way. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "core/base/metrics.h"
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

    std::function<std::vector<node_address>(std::size_t)> draw; ///< other live nodes, at random
    std::function<void(const node_address&, const std::vector<config_entry>&)> push; ///< best effort
    std::function<void(const node_address&, const std::vector<config_version>&, pulled)>
        pull;                        ///< asks for news
    std::function<void()> completed; ///< all configuration has been received from a peer
};

/**
 * New versions are pushed on at once to a few nodes, each of which does the same; what a push missed is
 * pulled when a probe shows that two nodes' digests differ. Modelled in models/config.pml.
 */
class config_spread {
public:
    /**
     * @param store configuration known
     * @param counts the counters
     * @param push_fanout nodes that each news is pushed on to
     * @param hooks the network
     */
    config_spread(config_store& store, metrics& counts, std::size_t push_fanout, spread_hooks hooks);

    /** Changes the number of nodes that news is pushed on to; 0 where every node reads it from the platform.
     */
    void set_push_fanout(std::size_t count) { push_fanout_ = count; }
    /** Takes objects from the platform or a peer, and pushes on what is news. */
    void take(const std::vector<config_entry>& entries);
    /** Looks at a peer's greeting, and pulls when its configuration differs. */
    void on_greeting(const greeting& from);
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
    void pull(const node_address& from);

    config_store& store_;            ///< configuration known
    metrics& counts_;                ///< the counters
    std::size_t push_fanout_;        ///< see config_spread()
    spread_hooks hooks_;             ///< the network
    bool complete_ = false;          ///< whether all configuration is held
    bool pulling_ = false;           ///< one pull at a time
    std::uint32_t retries_left_ = 0; ///< pulls still made after a lost one
};

} // namespace pollengrade
