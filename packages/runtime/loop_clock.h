/** @file loop_clock.h Moves a timer queue with the GLib main loop. */
#pragma once

#include <functional>
#include <utility>

#include "core/base/timer_queue.h"
#include "runtime/glib_ptr.h"

namespace pollengrade {

/** @return the monotonic time now. */
[[nodiscard]] time_point monotonic_now();
/** @return the wall time now. */
[[nodiscard]] wall_time wall_now();

/** The process's clock: monotonic time, read each time the loop wakes. */
class loop_clock {
public:
    loop_clock();
    loop_clock(const loop_clock&) = delete;
    loop_clock& operator=(const loop_clock&) = delete;
    loop_clock(loop_clock&&) = delete;
    loop_clock& operator=(loop_clock&&) = delete;
    ~loop_clock();

    /** @return the timers that the loop drives. */
    [[nodiscard]] timer_queue& timers() noexcept { return timers_; }

    /**
     * Reads the time and runs what is due.
     * Called first by every callback of the loop, so that what it decides rests on the present time.
     */
    void sync();

    /** Reads the time only: for callbacks that what is due must not overtake. */
    void read() { timers_.update_time(monotonic_now()); }

    /**
     * Sets what is done before timers that woke the loop are run: a process that was kept from running has
     * both overdue timers and unread replies, and the replies decide what the timers do.
     */
    void set_before_timers(std::function<void()> hook) { before_timers_ = std::move(hook); }

private:
    void rearm();
    static gboolean on_timeout(gpointer self);

    timer_queue timers_;                  ///< what the loop drives
    GSource* source_;                     ///< wakes the loop at the earliest deadline
    gint64 armed_at_ = -1;                ///< the ready time set on the source; -1 for never
    bool syncing_ = false;                ///< whether sync() is on the call stack
    std::function<void()> before_timers_; ///< see set_before_timers()
};

} // namespace pollengrade
