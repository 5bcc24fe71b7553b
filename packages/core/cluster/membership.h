/** @file membership.h Maintains the list of nodes by probing, suspicion and gossip. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/cluster/member_type.h"

namespace pollengrade {

/** Network operations that membership uses. Each call invokes its callback once, in bounded time. */
struct membership_hooks {
    using probe_done = std::function<void(std::optional<gossip_message>)>;
    using reach_done = std::function<void(bool)>;
    using list_done = std::function<void(std::optional<std::vector<member>>)>;

    std::function<void(const node_address&, const gossip_message&, probe_done)> probe; ///< probes a node
    /** Asks the first node to probe the second. */
    std::function<void(const node_address&, const node_address&, reach_done)> probe_through;
    /** Reads the members that a node knows, except those whose fingerprints are given. */
    std::function<void(const node_address&, const std::vector<std::uint64_t>&, list_done)> list;
    std::function<void(gossip_message&)> add_config; ///< fills in the configuration fields
    /** Called for every gossip message received; for a reply, with the time when it was asked for. */
    std::function<void(const gossip_message&, std::optional<time_point> asked_at)> gossip_received;
    std::function<void()> changed; ///< called when the set of live nodes may have changed
};

/** @return a hash of a member's address, incarnation and state, by which member lists are compared. */
[[nodiscard]] std::uint64_t fingerprint_of(const member& it);

/**
 * This node's view of all nodes, after SWIM. In each period one node is probed; if it does not answer, it is
 * probed through other nodes, then suspected, then declared dead. Member updates are piggybacked on probes,
 * so the cost per node is constant. Most probes and list reads stay within the failure domain, because
 * traffic between domains is charged for.
 * @see Das, Gupta, Motivala: SWIM, DSN 2002
 */
class membership {
public:
    /**
     * @param timers the clock
     * @param log the event log
     * @param counts the counters
     * @param random source of random numbers
     * @param self this node
     * @param seeds nodes to contact first
     * @param hooks network operations
     */
    membership(timer_queue& timers, event_log& log, metrics& counts, std::function<std::uint64_t()> random,
               member self, std::vector<node_address> seeds, membership_hooks hooks);

    /** Joins through the seeds and starts probing. */
    void start();
    /** Takes other seeds, and joins through them if they differ. */
    void set_seeds(std::vector<node_address> seeds);
    /** Notifies some nodes that this node is leaving. */
    void leave();

    /** Handles a probe. @return the reply */
    gossip_message on_probe(const gossip_message& from);
    /** Applies an update about a node and passes it on. */
    void apply_update(const member& update) { apply_update(update, true); }

    [[nodiscard]] const member& self() const noexcept { return self_; }
    /** @return all known nodes except this node, by address. */
    [[nodiscard]] const std::map<node_address, member>& others() const noexcept { return others_; }
    /** @return all known nodes, including this node. */
    [[nodiscard]] std::vector<member> all() const;
    /** @return all known nodes, including this node, except those with the given fingerprints. */
    [[nodiscard]] std::vector<member> all_but(std::span<const std::uint64_t> known) const;
    /** @return the nodes that are alive or suspect, including this node. */
    [[nodiscard]] std::vector<node_address> live() const;
    /** @return the nodes of one failure domain that are alive or suspect, including this node if it is there.
     */
    [[nodiscard]] std::vector<node_address> live(const failure_domain& domain) const;
    /** @return the members that are alive or suspect, including this node. */
    [[nodiscard]] std::vector<member> live_members() const;
    /** @return the failure domain of another node; empty if unknown. */
    [[nodiscard]] failure_domain domain_of(const node_address& node) const;
    /** Sends gossip to a node at once, instead of with the next probe. */
    void send_gossip(const node_address& target);
    /** @return up to @p count other live nodes, chosen at random. */
    [[nodiscard]] std::vector<node_address> random_peers(std::size_t count) const;
    /** Like random_peers(), within this failure domain; of all domains if this one has no other live node. */
    [[nodiscard]] std::vector<node_address> random_local_peers(std::size_t count) const;
    /** @return whether another node was in contact recently, or no other node is known. */
    [[nodiscard]] bool is_in_touch() const;

private:
    /**
     * Sends gossip to a seed or another node and reads its member list. Repeats this for some seconds,
     * because other nodes may be starting too.
     * @param reads number of reads so far
     */
    void read_list(std::uint32_t reads);
    [[nodiscard]] std::optional<node_address> choose_list_source(std::uint32_t reads);
    [[nodiscard]] std::vector<node_address> random_sample(std::vector<node_address> pool,
                                                          std::size_t count) const;
    /** @param passes_on whether to gossip the update; members of a list are read there by other nodes too */
    void apply_update(const member& update, bool passes_on);
    /** Probes the next live node of a round. @return whether there was one */
    bool probe_next_of(std::vector<node_address>& round, bool is_cross_domain);
    /** @return the other live nodes of other domains or of this domain, in random order. */
    [[nodiscard]] std::vector<node_address> make_round(bool is_cross_domain) const;
    void join();
    void send_gossip_to_seeds();
    void probe_lost_node();
    void probe_next();
    void probe(const node_address& target);
    void probe_indirectly(const node_address& target);
    void suspect(const node_address& target);
    void declare_dead(const node_address& target, member_incarnation incarnation);
    void process_gossip(const gossip_message& from, std::optional<time_point> asked_at);
    [[nodiscard]] gossip_message make_gossip(const node_address& to);
    void queue_update(const member& update);
    [[nodiscard]] std::uint32_t transmit_count() const;

    timer_queue& timers_;                                   ///< the clock
    event_log& log_;                                        ///< the event log
    metrics& counts_;                                       ///< the counters
    std::function<std::uint64_t()> random_;                 ///< source of random numbers
    member self_;                                           ///< this node
    std::vector<node_address> seeds_;                       ///< nodes to contact first
    membership_hooks hooks_;                                ///< network operations
    std::map<node_address, member> others_;                 ///< all other known nodes
    std::map<node_address, std::uint32_t> pending_updates_; ///< transmissions left of each node's update
    std::vector<node_address> local_round_;  ///< nodes of this domain still to be probed in this round
    std::vector<node_address> remote_round_; ///< nodes of other domains still to be probed in this round
    std::uint32_t probes_ = 0;               ///< number of probe periods so far
    std::optional<timer_id> list_timer_;     ///< the next read_list()
    time_point last_contact_;                ///< when gossip was last received
};

} // namespace pollengrade
