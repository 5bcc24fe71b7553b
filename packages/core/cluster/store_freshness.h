/** @file store_freshness.h How long ago the platform's store confirmed what this node knows. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include "core/base/event_log.h"
#include "core/base/id_type.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"

namespace pollengrade {

/** What store_freshness needs from its node. */
struct freshness_hooks {
    /** @return this node's rank, from 0, among the nodes that watch the store; nullopt if it doesn't. */
    std::function<std::optional<std::size_t>()> watcher_rank;
    std::function<std::size_t()> node_count; ///< @return the number of live nodes
    /** Sends gossip to a store watcher; its reply brings the age of its confirmation. Takes the number of
     * watchers asked since the last confirmation, so that the next one is another. */
    std::function<void(std::uint32_t)> ask_watcher;
    std::function<void(const node_address&)> ask; ///< sends gossip to one node, like ask_watcher
    /** Sends gossip to the store watchers, which this node replaces; they then ask this node. */
    std::function<void()> tell_watchers;
    std::function<void()> check_store;   ///< asks the store itself whether what is known is current
    std::function<void()> became_acting; ///< called when this node begins to watch the store for others
};

/**
 * Where only some nodes watch the store, the others can't tell a quiet store from watchers that the store
 * doesn't answer. So each node knows when the store last confirmed its knowledge: the store's answer to a
 * check by this node, or a peer's confirmation if this node holds all that the peer holds. Confirmations
 * carry their age, because clocks differ.
 *
 * The first of the store watchers checks the store at an interval, and the next ones if it doesn't. The
 * other watchers ask it for its confirmation, and the other nodes ask a watcher. A node whose confirmation is
 * too old checks the store itself. If the store answers, it watches the store for a while, in place of the
 * watchers that the store doesn't answer. Nodes draw their time to do so such that the checks of all nodes
 * together are bounded, however many there are.
 */
class store_freshness {
public:
    /**
     * @param timers the clock
     * @param log the event log
     * @param counts the counters
     * @param random random numbers
     * @param apply_limit time within which a change in the store must be in force
     * @param hooks callbacks to the node
     */
    store_freshness(timer_queue& timers, event_log& log, metrics& counts,
                    std::function<std::uint64_t()> random, duration apply_limit, freshness_hooks hooks);

    /** Sets whether only some nodes watch the store; otherwise this does nothing. */
    void set_needed(bool is_needed);
    /** Records that the store confirmed all that this node knows. @param asked_at when it was asked */
    void on_store_answer(time_point asked_at);
    /**
     * Records a peer's confirmation. @pre this node holds all that the peer holds
     * @param asked_at when the peer was asked
     * @param age age of the confirmation when the peer answered
     */
    void on_peer_answer(time_point asked_at, duration age);

    /** Handles a peer's probe: asks the peer if its confirmation is much newer. @param age see
     * on_peer_answer() */
    void on_peer_probe(const node_address& peer, duration age);

    /** @return the age of the newest confirmation; nullopt if there was none. */
    [[nodiscard]] std::optional<duration> age() const;
    /** @return whether this node watches the store in place of others. */
    [[nodiscard]] bool is_acting() const { return timers_.now() < acting_until_; }

private:
    void wait_from(time_point at);
    /** @return whether the confirmation is newer than the last one */
    bool on_confirmed(time_point at);
    void draw_patience();
    /** Called when this node confirmed in the place of an earlier one: it goes on so for a while, without
     * gaps. */
    void lead();
    void act();
    void schedule();
    void on_timer();
    /** @return when a watcher is to be asked; never for the first of the watchers. */
    [[nodiscard]] time_point ask_due() const;
    [[nodiscard]] time_point check_due() const;

    timer_queue& timers_;                    ///< the clock
    event_log& log_;                         ///< the event log
    metrics& counts_;                        ///< the counters
    std::function<std::uint64_t()> random_;  ///< random numbers
    duration interval_;                      ///< between two checks of the store by its first watcher
    freshness_hooks hooks_;                  ///< callbacks to the node
    bool is_needed_ = false;                 ///< see set_needed()
    std::optional<time_point> confirmed_at_; ///< when the store gave the newest confirmation, or earlier
    time_point waits_from_;                  ///< when the wait for the next confirmation began
    time_point last_ask_{};                  ///< when a watcher was last asked
    time_point last_check_{};                ///< when this node last checked the store
    time_point acting_until_{};              ///< see is_acting()
    std::uint32_t asks_ = 0;                 ///< watchers asked since the last confirmation
    double patience_ = 0;                    ///< drawn: how long this node leaves checks to others, 0 to 1
    time_point leads_until_{};               ///< this node checks as the first watcher does, see lead()
    std::optional<timer_id> timer_;          ///< the next on_timer()
};

} // namespace pollengrade
