/** @file timer_queue.h The injected clock: a reading of time and callbacks bound to it. */
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
 * A clock that moves only when told to, with one-shot timers.
 * The daemon moves it with the main loop; tests move it by hand.
 */
class timer_queue {
public:
    using callback = std::function<void()>;

    explicit timer_queue(time_point start) : now_{start} {}

    /** @return the time last advanced to. */
    [[nodiscard]] time_point now() const noexcept { return now_; }

    /**
     * Schedules a callback.
     * @param when the earliest time to run it; a past time runs at the next advance
     * @param run the callback
     * @return an ID that cancel() takes
     */
    timer_id schedule_at(time_point when, callback run);

    /** Schedules @p run to follow after @p delay; see schedule_at(). */
    timer_id schedule_after(duration delay, callback run) {
        return schedule_at(now_ + delay, std::move(run));
    }

    /**
     * Withdraws a callback.
     * @return false when it has run already or was never scheduled
     */
    bool cancel(timer_id id);

    /** @return the time of the earliest callback, if there is one. */
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    /**
     * Moves the clock and runs what has come due, in order of time.
     * @param to the new time; an earlier time than now() leaves the clock where it is
     */
    void advance_to(time_point to);

    /**
     * Moves the clock without running anything: what has come due runs at the next advance.
     * @param to the new time; an earlier time than now() leaves the clock where it is
     */
    void update_time(time_point to);

    /** Sets the hook that is called when the earliest callback has become earlier. */
    void set_rearm_hook(callback hook) { rearm_ = std::move(hook); }

private:
    using key = std::pair<time_point, std::uint64_t>;

    time_point now_;                                ///< the current reading
    std::uint64_t next_id_ = 1;                     ///< the next timer's ID
    std::map<key, callback> pending_;               ///< callbacks by time, then by age
    std::map<std::uint64_t, time_point> due_times_; ///< the time of each pending ID
    callback rearm_;                                ///< see set_rearm_hook()
};

} // namespace pollengrade
