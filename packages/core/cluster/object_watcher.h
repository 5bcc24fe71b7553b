/** @file object_watcher.h Keeps one kind of the store's objects current by list and watch. */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/config/object_type.h"

namespace pollengrade {

/** Node and store callbacks of object_watcher. Each call to the store calls back exactly once. */
struct object_watcher_hooks {
    using listed = std::function<void(tl::expected<object_list, store_error>)>;
    using watched = std::function<void(tl::expected<object_changes, store_error>)>;

    /** Reads all objects within a limit; with allow_stale set, the result may be some seconds old. */
    std::function<void(duration limit, bool allow_stale, listed)> list;
    /** Waits for changes after a revision, at most for the given time; the call ends within the limit. */
    std::function<void(object_version, duration wait, duration limit, watched)> watch;
    std::function<void(const object_list&)> replaced;   ///< called with all objects
    std::function<void(const object_changes&)> changed; ///< called with changes
    std::function<void(bool reached)> reached; ///< reports after each call whether the store answered
    std::function<bool()> is_store_watcher;    ///< whether this node watches the store
    std::function<void()> confirmed;           ///< called when confirmed_at() has advanced
};

/**
 * Lists all objects of a kind, then keeps one watch (a long poll) open. After a watch that brought changes,
 * the next one starts after a short delay, so that changes in quick succession cost one call. An answer
 * of another era of the store leads to a new list. A failed call
 * is retried with exponential backoff and jitter. A change ends the watches of all nodes at once, so the wait
 * of the next watch is random and the following watches end one after another. If the store has lost them,
 * the node whose watch ends first notices, and its peers see that it is ahead.
 */
class object_watcher {
public:
    /**
     * @param timers clock and timers
     * @param random random numbers for backoff and waits
     * @param min_interval delay between the end of a watch that brought changes and the next watch
     * @param hooks node and store callbacks
     */
    object_watcher(timer_queue& timers, std::function<std::uint64_t()> random, duration min_interval,
                   object_watcher_hooks hooks);

    /** Starts the first list. */
    void start();
    /** Checks again whether this node is a store watcher, and starts a watch or list if one is due. */
    void on_store_watcher_changed();
    /**
     * Asks the store at once whether the known objects are current, also while a watch waits: a watch that
     * the store has lost or that nobody answers looks like a quiet one. A store watcher takes a check that
     * isn't answered as a failed call.
     */
    void check();
    /** @return when the store was asked that confirmed last that the known objects are current. */
    [[nodiscard]] time_point confirmed_at() const noexcept { return confirmed_at_; }
    /** @return whether all objects have been listed once. */
    [[nodiscard]] bool is_listed() const noexcept { return listed_; }
    /** @return when the store last answered; never decreases. */
    [[nodiscard]] time_point last_answer() const noexcept { return last_answer_; }

private:
    void start_next_call();
    void list();
    void replace(const object_list& list);
    /** Lists the objects while watches fail. */
    void list_besides();
    void watch();
    /** @return the wait of the next watch: random if other nodes start theirs now too, else the normal wait.
     */
    [[nodiscard]] duration next_wait();
    void on_watched(bool is_liveness_check, const tl::expected<object_changes, store_error>& result);
    void on_checked(const tl::expected<object_changes, store_error>& result);
    /** @return whether a result shows that changes were missed, so that only a list shows the objects. */
    [[nodiscard]] bool is_other_history(const tl::expected<object_changes, store_error>& result) const;
    void take(const object_changes& changes);
    void note_confirmed(time_point asked_at);
    /** Ignores the result of the call in progress, if there is one. */
    void drop_call();
    void retry();
    void start_next_call_after(duration span);

    timer_queue& timers_;                   ///< clock and timers
    std::function<std::uint64_t()> random_; ///< random numbers for backoff and waits
    duration min_interval_;                 ///< see object_watcher()
    object_watcher_hooks hooks_;            ///< node and store callbacks
    object_version revision_;               ///< the revision that the known objects are current at
    bool listed_ = false;                   ///< see is_listed()
    bool current_ = false;                  ///< whether a watch can start from revision_
    bool busy_ = false;                     ///< whether a call or a delay is in progress
    bool synchronized_ = true;              ///< whether the last result probably reached all nodes at once
    std::uint32_t failures_ = 0;            ///< consecutive failed calls
    time_point last_answer_{};              ///< see last_answer()
    time_point confirmed_at_{};             ///< see confirmed_at()
    bool checking_ = false;                 ///< whether a check is in progress
    std::uint64_t call_ = 0;        ///< number of the latest call; results of earlier ones are ignored
    std::optional<timer_id> delay_; ///< the delay before the next call
};

} // namespace pollengrade
