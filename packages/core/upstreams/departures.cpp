/** @file departures.cpp Order, bounds and expiry of remembered departures. */
#include "core/upstreams/departures.h"

#include <algorithm>

namespace pollengrade {

namespace {

constexpr duration retention = std::chrono::minutes{10};
constexpr std::size_t max_departures = 16384; ///< servers remembered at most

} // namespace

void departures::note(const upstream_id& id, time_point now, time_point at) {
    const auto found = known_.find(id);
    if (found != known_.end()) {
        found->second.at = std::max(found->second.at, at);
        found->second.noted = now;
        found->second.last_known = now;
        return;
    }
    forget_old(now);
    if (known_.size() >= max_departures)
        forget_first_noted();
    by_number_[next_number_] = id;
    known_[id] = {at, now, now, next_number_++};
}

void departures::forget_old(time_point now) {
    std::erase_if(known_, [&](const auto& it) {
        const bool is_old = it.second.last_known + retention < now && !is_known_(it.first);
        if (is_old)
            by_number_.erase(it.second.number);
        return is_old;
    });
}

void departures::on_removed(const upstream_id& id, time_point now) {
    if (const auto found = known_.find(id); found != known_.end())
        found->second.last_known = now;
}

void departures::forget_first_noted() {
    const auto first = std::min_element(known_.begin(), known_.end(), [](const auto& a, const auto& b) {
        return a.second.noted < b.second.noted;
    });
    by_number_.erase(first->second.number);
    known_.erase(first);
}

std::vector<departed_server> departures::since(time_point noted, time_point now) const {
    std::vector<departed_server> list;
    for (auto it = by_number_.rbegin(); it != by_number_.rend() && list.size() < max_departures_told; ++it) {
        const departure& one = known_.at(it->second);
        if (one.noted >= noted)
            list.push_back({it->second, now - one.at});
    }
    return list;
}

departure_news departures::after(std::uint64_t up_to, time_point now) const {
    departure_news news{{}, next_number_ - 1};
    for (auto it = by_number_.rbegin(); it != by_number_.rend() && it->first > up_to; ++it) {
        if (news.servers.size() == max_departures_told)
            break;
        news.servers.push_back({it->second, now - known_.at(it->second).at});
    }
    return news;
}

} // namespace pollengrade
