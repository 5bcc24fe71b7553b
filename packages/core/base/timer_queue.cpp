/** @file timer_queue.cpp Implementation of the timer queue. */
#include "core/base/timer_queue.h"

namespace pollengrade {

timer_id timer_queue::schedule_at(time_point when, callback run) {
    const std::uint64_t id = next_id_++;
    const bool earliest = pending_.empty() || when < pending_.begin()->first.first;
    pending_.emplace(key{when, id}, std::move(run));
    due_times_.emplace(id, when);
    if (earliest && rearm_)
        rearm_();
    return timer_id{id};
}

bool timer_queue::cancel(timer_id id) {
    const auto it = due_times_.find(id.value());
    if (it == due_times_.end())
        return false;
    pending_.erase(key{it->second, id.value()});
    due_times_.erase(it);
    return true;
}

std::optional<time_point> timer_queue::next_deadline() const {
    if (pending_.empty())
        return std::nullopt;
    return pending_.begin()->first.first;
}

void timer_queue::advance_to(time_point to) {
    while (!pending_.empty() && pending_.begin()->first.first <= to) {
        const auto it = pending_.begin();
        if (it->first.first > now_) {
            now_ = it->first.first;
            // A callback that was due when it was scheduled only waits for its turn.
            if (report_lateness_)
                report_lateness_(to - now_);
        }
        const callback run = std::move(it->second);
        due_times_.erase(it->first.second);
        pending_.erase(it);
        run();
    }
    update_time(to);
}

void timer_queue::update_time(time_point to) {
    if (to > now_)
        now_ = to;
}

} // namespace pollengrade
