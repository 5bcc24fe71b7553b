/** @file answer_timing.cpp Estimates from observed delays, within bounds. */
#include "core/queries/answer_timing.h"

#include <algorithm>

namespace pollengrade {

namespace {

constexpr duration maximum_period =
    std::chrono::seconds{10};          ///< callers' waits are remembered for one or two
constexpr double usual_quantile = 0.9; ///< of this node's own delays
constexpr duration default_delay = std::chrono::milliseconds{1}; ///< of each kind, until enough are known
/** At most this part of a target is reserved for one kind of delay: an overloaded node must still decide. */
constexpr int max_part_of_target = 4;

duration usual(const latency_profile& it) {
    return it.has_enough_samples() ? it.quantile(usual_quantile) : default_delay;
}

} // namespace

void recent_maximum::add(time_point now, duration value) {
    if (now - period_start_ >= maximum_period) {
        previous_ = now - period_start_ < maximum_period * 2 ? current_ : duration{0};
        current_ = duration{0};
        period_start_ = now;
    }
    current_ = std::max(current_, value);
}

void answer_timing::on_request(const route& via, const forwarded_request& request, time_point now) {
    if (request.time_left)
        waits_[via.name].add(now, *request.time_left);
}

duration answer_timing::waited_before(const route& via, const forwarded_request& request) const {
    const auto it = waits_.find(via.name);
    if (!request.time_left || it == waits_.end())
        return duration{0};
    const duration waited = it->second.value() - *request.time_left;
    // A caller that has waited for longer than the target cannot be served within it, and one that states a
    // much shorter time may just be less patient than others.
    return waited < via.target ? waited : duration{0};
}

duration answer_timing::delay_on_node() const {
    // A request waits for its turn before it is read as long as a timer waits before it runs.
    return usual(timer_lateness_) * 2 + usual(writing_);
}

duration answer_timing::time_outside(const route& via, const forwarded_request& request) const {
    const duration limit = via.target / max_part_of_target;
    const duration round_trip =
        request.caller_round_trip.count() > 0 ? request.caller_round_trip : default_round_trip_;
    return waited_before(via, request) + std::min(limit, round_trip) + std::min(limit, delay_on_node());
}

} // namespace pollengrade
