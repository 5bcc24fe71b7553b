/** @file throttled_action.cpp Implementation of the throttled action. */
#include "core/base/throttled_action.h"

#include <utility>

namespace pollengrade {

throttled_action::throttled_action(timer_queue& timers, duration min_interval, std::function<void()> action)
    : timers_{timers}, min_interval_{min_interval}, action_{std::move(action)} {}

throttled_action::~throttled_action() {
    if (interval_timer_)
        timers_.cancel(*interval_timer_);
}

void throttled_action::trigger() {
    if (interval_timer_)
        is_trigger_pending_ = true;
    else
        run();
}

void throttled_action::run() {
    // The interval starts before the action runs, because the action may call trigger() itself.
    interval_timer_ = timers_.schedule_after(min_interval_, [this] {
        interval_timer_.reset();
        if (std::exchange(is_trigger_pending_, false))
            run();
    });
    action_();
}

} // namespace pollengrade
