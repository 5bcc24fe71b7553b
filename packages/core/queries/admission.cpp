/** @file admission.cpp Counts what can be reached in time. */
#include "core/queries/admission.h"

#include <algorithm>

namespace pollengrade {

namespace {

constexpr duration least_retry_after = std::chrono::milliseconds{20}; ///< a loop turn and a connection
constexpr duration server_retry_after =
    std::chrono::milliseconds{100}; ///< until a lost server is tried again

} // namespace

admission_verdict admit(const dispatcher& servers, const admission_inputs& it) {
    admission_verdict verdict;
    duration shortest_excess = duration::max();
    for (const replica_set_name& set : it.sets) {
        const availability found = servers.availability_of(set, {}, placement_purpose::no_trial);
        if (found == availability::none)
            continue;
        ++verdict.reachable;
        if (found == availability::immediate) {
            ++verdict.in_time;
            continue;
        }
        const duration wait = servers.expected_wait(set, it.work).value_or(duration{0});
        verdict.longest_wait = std::max(verdict.longest_wait.value_or(duration{0}), wait);
        if (found == availability::waiting && wait < it.time_left)
            ++verdict.in_time;
        else
            shortest_excess = std::min(shortest_excess, wait - it.time_left);
    }
    if (verdict.reachable < it.least)
        verdict.refusal = refused_answer{forward_refusal::no_server, server_retry_after};
    else if (verdict.in_time < it.least)
        verdict.refusal =
            refused_answer{forward_refusal::overload, std::max(least_retry_after, shortest_excess)};
    return verdict;
}

} // namespace pollengrade
