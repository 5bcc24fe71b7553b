/** @file paced_action.h Many requests for one recomputation become few runs of it. */
#pragma once

#include <functional>
#include <optional>

#include "core/base/timer_queue.h"

namespace pollengrade {

/**
 * Runs an action at once when asked after a rest, and once at the end of the rest for all that ask within it.
 * Load it answers: hundreds of nodes or servers that appear within a second, each of which changes what is
 * computed from all of them.
 */
class paced_action {
public:
    /**
     * @param timers the clock
     * @param rest from one run to the next, at least
     * @param run the action
     */
    paced_action(timer_queue& timers, duration rest, std::function<void()> run);
    paced_action(const paced_action&) = delete;
    paced_action& operator=(const paced_action&) = delete;
    paced_action(paced_action&&) = delete;
    paced_action& operator=(paced_action&&) = delete;
    ~paced_action();

    /** Asks for a run: now, or at the end of the rest. */
    void ask();

private:
    void run();

    timer_queue& timers_;             ///< the clock
    duration rest_;                   ///< see paced_action()
    std::function<void()> run_;       ///< see paced_action()
    std::optional<timer_id> resting_; ///< pending end of the rest
    bool asked_ = false;              ///< whether somebody asked during the rest
};

} // namespace pollengrade
