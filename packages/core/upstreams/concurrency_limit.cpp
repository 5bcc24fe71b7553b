/** @file concurrency_limit.cpp Additive increase, multiplicative decrease. */
#include "core/upstreams/concurrency_limit.h"

#include <algorithm>

namespace pollengrade {

namespace {

/** Times the unloaded reply time: a longer reply shows that requests queue at the server. */
constexpr int queueing_factor = 3;
/** Shorter waits are normal: requests of different cost share the server. */
constexpr duration min_queueing_time = std::chrono::milliseconds{30};
constexpr double decrease = 0.7; ///< factor of the limit after a reply that was held up

} // namespace

void concurrency_limit::on_reply(time_point now, time_point sent, duration took, duration unloaded,
                                 std::uint32_t in_flight) {
    if (unloaded.count() <= 0)
        return;
    if (took <= std::max(unloaded * queueing_factor, min_queueing_time)) {
        limit_ = std::min(max_limit, limit_ + 1 / limit_);
        return;
    }
    // Requests that were sent before the reduction were held up by the same queue.
    if (sent < reduced_at_)
        return;
    reduced_at_ = now;
    limit_ = std::max(1.0, std::min(limit_, static_cast<double>(in_flight)) * decrease);
}

} // namespace pollengrade
