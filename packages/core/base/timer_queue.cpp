/** @file timer_queue.cpp Implementation of the injected clock. */
#include "core/base/timer_queue.h"

namespace pollengrade {

timer_id timer_queue::schedule_at(time_point when, callback run) {
    const std::uint64_t id = next_id_++;
    const bool earliest = due_.empty() || when < due_.begin()->first.first;
    due_.emplace(key{when, id}, std::move(run));
    times_.emplace(id, when);
    if (earliest && rearm_)
        rearm_();
    return timer_id{id};
}

bool timer_queue::cancel(timer_id id) {
    const auto it = times_.find(id.value());
    if (it == times_.end())
        return false;
    due_.erase(key{it->second, id.value()});
    times_.erase(it);
    return true;
}

std::optional<time_point> timer_queue::next_deadline() const {
    if (due_.empty())
        return std::nullopt;
    return due_.begin()->first.first;
}

void timer_queue::advance_to(time_point to) {
    while (!due_.empty() && due_.begin()->first.first <= to) {
        const auto it = due_.begin();
        if (it->first.first > now_)
            now_ = it->first.first;
        const callback run = std::move(it->second);
        times_.erase(it->first.second);
        due_.erase(it);
        run();
    }
    note_time(to);
}

void timer_queue::note_time(time_point to) {
    if (to > now_)
        now_ = to;
}

} // namespace pollengrade
