/** @file membership.h Which nodes there are: probes, suspicion, and news spread with them. */
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

/** What membership needs of the network. Each call ends in one call of its hook, in bounded time. */
struct membership_hooks {
    using greeted = std::function<void(std::optional<greeting>)>;
    using reached = std::function<void(bool)>;
    using listed = std::function<void(std::optional<std::vector<member>>)>;

    std::function<void(const node_address&, const greeting&, greeted)> probe;             ///< asks a node
    std::function<void(const node_address&, const node_address&, reached)> probe_through; ///< via, target
    /** Reads what a node knows of members, but those whose fingerprints are given. */
    std::function<void(const node_address&, const std::vector<std::uint64_t>&, listed)> list;
    std::function<void(greeting&)> add_config;       ///< fills in the configuration's part
    std::function<void(const greeting&)> greeted_by; ///< sees every greeting taken
    std::function<void()> changed;                   ///< the nodes alive have changed
};

/** @return what stands for a member's address, life and state where two lists are compared. */
[[nodiscard]] std::uint64_t fingerprint_of(const member& it);

/**
 * This node's view of all nodes, after SWIM: each period one node is probed, through others when it does not
 * answer, then suspected, then given up on. News rides on probes, so cost a node is constant.
 * Most probes and readings of lists stay within the failure domain: bytes between domains are paid for.
 * @see Das, Gupta, Motivala: SWIM, DSN 2002
 */
class membership {
public:
    /**
     * @param timers the clock
     * @param log the time line
     * @param counts the counters
     * @param random random numbers
     * @param self this node
     * @param seeds nodes to ask first
     * @param hooks the network
     */
    membership(timer_queue& timers, event_log& log, metrics& counts, std::function<std::uint64_t()> random,
               member self, std::vector<node_address> seeds, membership_hooks hooks);

    /** Joins through a seed and starts to probe. */
    void start();
    /** Tells some nodes that this one is leaving. */
    void leave();

    /** Takes a probe. @return the reply */
    greeting on_probe(const greeting& from);
    /** Takes word of a node. */
    void take(const member& word) { take(word, true); }

    [[nodiscard]] const member& self() const noexcept { return self_; }
    /** @return all nodes known but this one, by address. */
    [[nodiscard]] const std::map<node_address, member>& others() const noexcept { return others_; }
    /** @return the whole list, this node included. */
    [[nodiscard]] std::vector<member> all() const;
    /** @return the whole list but the members with these fingerprints. */
    [[nodiscard]] std::vector<member> all_but(std::span<const std::uint64_t> known) const;
    /** @return nodes that may be relied on, this one included: alive or suspect. */
    [[nodiscard]] std::vector<node_address> live() const;
    /** The same of one failure domain. */
    [[nodiscard]] std::vector<node_address> live(const failure_domain& domain) const;
    /** The same with all that is known of them. */
    [[nodiscard]] std::vector<member> live_members() const;
    /** @return the failure domain of a node; empty when it is not known. */
    [[nodiscard]] failure_domain domain_of(const node_address& node) const;
    /** Greets a node at once, to pass on that something has changed. */
    void greet(const node_address& target);
    /** @return up to @p count other live nodes drawn at random. */
    [[nodiscard]] std::vector<node_address> draw(std::size_t count) const;
    /** The same of this failure domain; of all domains where this one has no other node. */
    [[nodiscard]] std::vector<node_address> draw_near(std::size_t count) const;
    /** @return whether another node has been heard of lately, or none is known. */
    [[nodiscard]] bool is_in_touch() const;

private:
    /**
     * Reads a seed's or another node's list, greets it, and goes on for some seconds: others may be starting
     * too.
     * @param readings made before
     */
    void read_list(std::uint32_t readings);
    [[nodiscard]] std::optional<node_address> choose_list(std::uint32_t readings);
    [[nodiscard]] std::vector<node_address> draw_of(std::vector<node_address> pool, std::size_t count) const;
    /** @param spreads whether the word is passed on: what stood in a list, others read there as well */
    void take(const member& word, bool spreads);
    /** Probes the next node of a round that still lives. @return whether there was one */
    bool probe_next_of(std::vector<node_address>& round, bool is_far);
    /** @return live nodes of other domains or of this one, in a drawn order. */
    [[nodiscard]] std::vector<node_address> make_round(bool is_far) const;
    void greet_seeds();
    void seek_lost();
    void probe_next();
    void probe(const node_address& target);
    void probe_through_others(const node_address& target);
    void suspect(const node_address& target);
    void give_up(const node_address& target, incarnation life);
    void heard(const greeting& from);
    [[nodiscard]] greeting make_greeting(const node_address& to);
    void spread(const member& word);
    [[nodiscard]] std::uint32_t spread_count() const;

    timer_queue& timers_;                        ///< the clock
    event_log& log_;                             ///< the time line
    metrics& counts_;                            ///< the counters
    std::function<std::uint64_t()> random_;      ///< random numbers
    member self_;                                ///< this node
    std::vector<node_address> seeds_;            ///< nodes to ask first
    membership_hooks hooks_;                     ///< the network
    std::map<node_address, member> others_;      ///< all other nodes
    std::map<node_address, std::uint32_t> news_; ///< nodes whose word is still spread, and how often
    std::vector<node_address> near_round_;       ///< of this domain, still to be probed in this round
    std::vector<node_address> far_round_;        ///< the same of other domains
    std::uint32_t probes_ = 0;                   ///< sent so far
    time_point last_heard_;                      ///< when another node was last heard of
};

} // namespace pollengrade
