/** @file admission.cpp Counts what can be reached in time. */
#include "core/queries/admission.h"

#include <algorithm>

namespace pollengrade {

namespace {

constexpr duration least_retry_after = std::chrono::milliseconds{20}; ///< a loop turn and a connection
constexpr duration server_retry_after =
    std::chrono::milliseconds{100}; ///< until a lost server is tried again

} // namespace

std::optional<refused_answer> refuse_early(const dispatcher& servers, const admission_inputs& it) {
    std::size_t reachable = 0;
    std::size_t in_time = 0;
    duration shortest_excess = duration::max();
    for (const replica_set_name& set : it.sets) {
        const outlook found = servers.outlook_of(set, {}, placement_purpose::plain);
        if (found == outlook::none)
            continue;
        ++reachable;
        if (found == outlook::immediate) {
            ++in_time;
            continue;
        }
        const duration wait = servers.expected_wait(set, it.work).value_or(duration{0});
        if (found == outlook::waiting && wait < it.time_left)
            ++in_time;
        else
            shortest_excess = std::min(shortest_excess, wait - it.time_left);
    }
    if (in_time >= it.least)
        return std::nullopt;
    if (reachable < it.least)
        return refused_answer{forward_refusal::no_server, server_retry_after};
    return refused_answer{forward_refusal::overload, std::max(least_retry_after, shortest_excess)};
}

} // namespace pollengrade
