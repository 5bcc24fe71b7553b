/** @file loop_clock.h Drives a timer queue from the GLib main loop. */
#pragma once

#include <functional>
#include <utility>

#include "core/base/timer_queue.h"
#include "runtime/glib_ptr.h"

namespace pollengrade {

/** @return the current monotonic time. */
[[nodiscard]] time_point monotonic_now();
/** @return the current wall time. */
[[nodiscard]] wall_time wall_now();

/** The process's clock: monotonic time, read whenever the loop wakes. */
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
     * Reads the time and runs the timers that are due.
     * Every callback of the loop calls this first, so that its decisions are based on the current time.
     */
    void sync();

    /** Reads the time only: for callbacks that must run before the timers that are due. */
    void read() { timers_.update_time(monotonic_now()); }

    /**
     * Sets a hook that runs before the timers that woke the loop. After a suspension a process has both
     * overdue timers and unread replies, and the replies decide what the timers do.
     */
    void set_before_timers(std::function<void()> hook) { before_timers_ = std::move(hook); }

private:
    void rearm();
    static gboolean on_timeout(gpointer self);

    timer_queue timers_;                  ///< the timers that the loop drives
    GSource* source_;                     ///< wakes the loop at the earliest deadline
    gint64 armed_at_ = -1;                ///< the ready time set on the source; -1 for never
    bool syncing_ = false;                ///< whether sync() is on the call stack
    std::function<void()> before_timers_; ///< see set_before_timers()
};

} // namespace pollengrade
