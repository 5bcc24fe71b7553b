/** @file paced_action.cpp The rest between two runs. */
#include "core/base/paced_action.h"

#include <utility>

namespace pollengrade {

paced_action::paced_action(timer_queue& timers, duration rest, std::function<void()> run)
    : timers_{timers}, rest_{rest}, run_{std::move(run)} {}

paced_action::~paced_action() {
    if (resting_)
        timers_.cancel(*resting_);
}

void paced_action::ask() {
    if (resting_)
        asked_ = true;
    else
        run();
}

void paced_action::run() {
    // The rest begins first: what the action does may ask again.
    resting_ = timers_.schedule_after(rest_, [this] {
        resting_.reset();
        if (std::exchange(asked_, false))
            run();
    });
    run_();
}

} // namespace pollengrade
