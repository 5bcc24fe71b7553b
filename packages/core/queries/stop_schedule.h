/** @file stop_schedule.h Times of a node's graceful stop, and of the requests that it still has. */
#pragma once

#include "core/base/time_type.h"

namespace pollengrade {

/** When a stopping node does what. Every time is at or after the previous one. */
struct stop_schedule {
    time_point idle_end;    ///< from then on the node ends once it has no request
    time_point last_answer; ///< the requests that are left get their answer, and no connection is accepted
    time_point end;         ///< the node ends, even if an answer isn't written yet
};

/**
 * @param now when the stop signal arrived
 * @param grace longest time from the stop signal to the end of the process
 */
[[nodiscard]] stop_schedule plan_stop(time_point now, duration grace);

/** The limits that a stopping node sets to one request. */
struct stop_limit {
    time_point last_send;   ///< from then on nothing is sent to a server for it
    time_point last_answer; ///< when its answer must be given
};

/**
 * @param last_answer when the node gives its last answers
 * @param usual_time time within which nearly all requests of this kind are answered
 * @return the limits of a request that is sent only if it is expected to end before the node does
 */
[[nodiscard]] stop_limit limit_at_stop(time_point last_answer, duration usual_time);

/** When a caller that a stopping node refuses may retry: another node can take the request at once. */
inline constexpr duration stopping_retry_after = std::chrono::milliseconds{1};

} // namespace pollengrade
