/** @file object_feed.h Follows one kind of the store's objects: a list, then changes as they come. */
#pragma once

#include <cstdint>
#include <functional>

#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/config/object_type.h"

namespace pollengrade {

/** What a feed needs of its node and the store. Each call to the store ends in one call of its hook. */
struct feed_hooks {
    using listed = std::function<void(tl::expected<object_list, store_error>)>;
    using watched = std::function<void(tl::expected<object_changes, store_error>)>;

    /** Reads all objects, each call within a limit; a cheap read may be some seconds behind. */
    std::function<void(duration limit, bool cheap, listed)> list;
    /** Waits up to a time for changes after a revision; within a limit the call has ended. */
    std::function<void(object_version, duration wait, duration limit, watched)> watch;
    std::function<void(const object_list&)> replaced;   ///< takes all objects
    std::function<void(const object_changes&)> changed; ///< takes changes
    std::function<void(bool reached)> reached;          ///< sees how each call ended
    std::function<bool()> is_on_duty;                   ///< whether this node waits for changes
};

/**
 * Lists a kind, then keeps one watch waiting. A watch that ends is started again after a short rest, so that
 * changes that come close together cost one call; a failed call is repeated after a growing, drawn pause.
 * A change ends the watches of all nodes at once. The wait of the next one is drawn, so that from then on
 * they end one after another: a store that has forgotten them is noticed by the first, and peers see that it
 * is ahead.
 */
class object_feed {
public:
    /**
     * @param timers the clock
     * @param random for pauses
     * @param rest between the end of a watch that brought changes and the next one
     * @param hooks the node and the store
     */
    object_feed(timer_queue& timers, std::function<std::uint64_t()> random, duration rest, feed_hooks hooks);

    /** Starts to read. */
    void start();
    /** Looks again at whether this node is on duty. */
    void on_duty_changed();
    /** @return whether all objects have been read once. */
    [[nodiscard]] bool is_listed() const noexcept { return listed_; }
    /** @return when the store last answered; never moves back. */
    [[nodiscard]] time_point last_answer() const noexcept { return last_answer_; }

private:
    void advance();
    void list();
    void watch();
    /** @return how long the next watch waits: drawn when other nodes start theirs now too, else the usual
     * time. */
    [[nodiscard]] duration next_wait();
    void retry();
    void pause(duration span);

    timer_queue& timers_;                   ///< the clock
    std::function<std::uint64_t()> random_; ///< for pauses
    duration rest_;                         ///< see object_feed()
    feed_hooks hooks_;                      ///< the node and the store
    object_version revision_;               ///< up to which everything is known
    bool listed_ = false;                   ///< see is_listed()
    bool current_ = false;                  ///< whether revision_ can be watched from
    bool busy_ = false;                     ///< whether a call or a pause is under way
    bool in_step_ = true;                   ///< whether what just came, came to all nodes at once
    std::uint32_t failures_ = 0;            ///< calls failed in a row
    time_point last_answer_{};              ///< see last_answer()
};

} // namespace pollengrade
