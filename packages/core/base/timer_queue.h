/** @file timer_queue.h Injected clock with one-shot timers. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/**
 * A clock with one-shot timers that advances only by calls to advance_to() and update_time().
 * The daemon advances it from the main loop; tests advance it explicitly.
 */
class timer_queue {
public:
    using callback = std::function<void()>;

    explicit timer_queue(time_point start) : now_{start} {}

    /** @return the current time. */
    [[nodiscard]] time_point now() const noexcept { return now_; }

    /**
     * Schedules a callback.
     * @param when earliest time to run it; if it has passed, the callback runs at the next advance_to()
     * @param run the callback
     * @return an ID for cancel()
     */
    timer_id schedule_at(time_point when, callback run);

    /** Schedules @p run after @p delay; see schedule_at(). */
    timer_id schedule_after(duration delay, callback run) {
        return schedule_at(now_ + delay, std::move(run));
    }

    /**
     * Cancels a callback.
     * @return false if the callback has run already, was cancelled or was never scheduled
     */
    bool cancel(timer_id id);

    /** @return the time of the earliest pending callback; nullopt if there is none. */
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    /**
     * Advances the clock and runs all callbacks that are due, in order of time. During a callback, now() is
     * the callback's scheduled time, or the previous time if that was later.
     * @param to the new time; a time before now() leaves the clock unchanged
     */
    void advance_to(time_point to);

    /**
     * Advances the clock without running callbacks; those that are due run at the next advance_to().
     * @param to the new time; a time before now() leaves the clock unchanged
     */
    void update_time(time_point to);

    /** Sets the hook that is called when a new callback becomes the earliest one. */
    void set_rearm_hook(callback hook) { rearm_ = std::move(hook); }

    /** Sets the hook that is called with the lateness of each callback, just before the callback runs. */
    void set_lateness_hook(std::function<void(duration)> hook) { report_lateness_ = std::move(hook); }

private:
    using key = std::pair<time_point, std::uint64_t>;

    time_point now_;                                ///< the current time
    std::uint64_t next_id_ = 1;                     ///< the next timer's ID
    std::map<key, callback> pending_;               ///< by due time, then in order of scheduling
    std::map<std::uint64_t, time_point> due_times_; ///< due time of each pending callback, by ID
    callback rearm_;                                ///< see set_rearm_hook()
    std::function<void(duration)> report_lateness_; ///< see set_lateness_hook()
};

} // namespace pollengrade
