/** @file stop_schedule.cpp Divides the grace time of a stop. */
#include "core/queries/stop_schedule.h"

#include <algorithm>

namespace pollengrade {

namespace {

/** Time until the load balancer has seen two failed readiness checks. */
constexpr duration balancer_detection_delay = std::chrono::milliseconds{2500};
constexpr duration max_stop_margin = std::chrono::milliseconds{500};  ///< between the end and a kill
constexpr duration max_writing_time = std::chrono::milliseconds{250}; ///< for the last answers
/** At most this part of a short grace time is used as a margin, and as much for the last answers. */
constexpr int margin_part_of_grace = 8;
/** Servers that turn slow or queue need longer than usual. */
constexpr int reserve_factor = 2;

} // namespace

stop_schedule plan_stop(time_point now, duration grace) {
    stop_schedule it;
    it.end = now + grace - std::min(max_stop_margin, grace / margin_part_of_grace);
    it.last_answer = it.end - std::min(max_writing_time, grace / margin_part_of_grace);
    it.idle_end = std::min(now + balancer_detection_delay, it.last_answer);
    return it;
}

stop_limit limit_at_stop(time_point last_answer, duration usual_time) {
    return {last_answer - usual_time * reserve_factor, last_answer};
}

} // namespace pollengrade
