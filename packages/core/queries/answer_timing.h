/** @file answer_timing.h When a query must be decided so that its answer reaches the caller within the
 * target.
 */
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "core/base/latency_profile.h"
#include "core/base/time_type.h"
#include "core/config/route_type.h"
#include "core/upstreams/attempt_type.h"

namespace pollengrade {

/** Longest value stated by callers lately, over a sliding window. */
class recent_maximum {
public:
    /** Adds a value. */
    void add(time_point now, duration value);
    /** @return the greatest value of the current and the previous period. */
    [[nodiscard]] duration value() const { return std::max(current_, previous_); }

private:
    time_point period_start_{}; ///< start of the current period
    duration current_{0};       ///< greatest value of the current period
    duration previous_{0};      ///< greatest value of the period before it
};

/**
 * Designed for nodes whose processor is small and callers that are some milliseconds away: an answer that is
 * decided at the target arrives too late. Estimates the parts of the target that this node does not control,
 * from what it observes: the round trip of the caller's connection, the time that a caller has already
 * waited, the lateness of timers, and the time from a decision to the written answer.
 */
class answer_timing {
public:
    /** @param default_round_trip round trip to a caller whose connection does not tell it */
    explicit answer_timing(duration default_round_trip) : default_round_trip_{default_round_trip} {}

    /** Records how late a timer ran. */
    void on_timer(duration lateness) { timer_lateness_.add(lateness); }
    /** Records the time from the decision to answer until the answer was written. */
    void on_answer_written(duration took) { writing_.add(took); }
    /** Records how long the caller of a request says that it still waits. */
    void on_request(const route& via, const forwarded_request& request, time_point now);

    /**
     * @return the part of a route's target that passes outside of this node's decisions: before the request
     * was read and after the answer is decided
     */
    [[nodiscard]] duration time_outside(const route& via, const forwarded_request& request) const;
    /** @return the usual delays on this node: before a request is read, and from a due timer to its answer.
     */
    [[nodiscard]] duration delay_on_node() const;

private:
    [[nodiscard]] duration waited_before(const route& via, const forwarded_request& request) const;

    duration default_round_trip_;                 ///< see answer_timing()
    latency_profile timer_lateness_;              ///< see on_timer()
    latency_profile writing_;                     ///< see on_answer_written()
    std::map<std::string, recent_maximum> waits_; ///< by route name: what callers say that they wait
};

} // namespace pollengrade
