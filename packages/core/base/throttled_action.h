/** @file throttled_action.h Throttles an action that is triggered often. */
#pragma once

#include <functional>
#include <optional>

#include "core/base/timer_queue.h"

namespace pollengrade {

/**
 * Runs an action at once when triggered after the minimum interval, and once at its end for all triggers
 * within it. Designed for hundreds of nodes or servers that appear within a second, each of which changes
 * what is computed from all of them.
 */
class throttled_action {
public:
    /**
     * @param timers the clock
     * @param min_interval from one run to the next, at least
     * @param action the action
     */
    throttled_action(timer_queue& timers, duration min_interval, std::function<void()> action);
    throttled_action(const throttled_action&) = delete;
    throttled_action& operator=(const throttled_action&) = delete;
    throttled_action(throttled_action&&) = delete;
    throttled_action& operator=(throttled_action&&) = delete;
    ~throttled_action();

    /** Requests a run: now, or at the end of the minimum interval. */
    void trigger();

private:
    void run();

    timer_queue& timers_;                    ///< the clock
    duration min_interval_;                  ///< see throttled_action()
    std::function<void()> action_;           ///< see throttled_action()
    std::optional<timer_id> interval_timer_; ///< runs when min_interval_ has passed since the last run
    bool is_trigger_pending_ = false;        ///< whether trigger() was called within the interval
};

} // namespace pollengrade
