/** @file admission.cpp Counts the replica sets that can reply in time. */
#include "core/queries/admission.h"

#include <algorithm>

namespace pollengrade {

namespace {

constexpr duration min_retry_after =
    std::chrono::milliseconds{20}; ///< one event loop iteration and a new connection
constexpr duration no_server_retry_after =
    std::chrono::milliseconds{100}; ///< until a lost server is tried again

} // namespace

admission_decision admit(const dispatcher& servers, const admission_inputs& it) {
    admission_decision decision;
    duration min_excess = duration::max();
    for (const replica_set_name& set : it.sets) {
        const availability found = servers.availability_of(set, {}, placement_purpose::no_trial);
        if (found == availability::none)
            continue;
        ++decision.reachable;
        if (found == availability::immediate) {
            ++decision.in_time;
            continue;
        }
        const duration wait = servers.expected_wait(set, it.work).value_or(duration{0});
        decision.longest_wait = std::max(decision.longest_wait.value_or(duration{0}), wait);
        if (found == availability::waiting && wait < it.time_left)
            ++decision.in_time;
        else
            min_excess = std::min(min_excess, wait - it.time_left);
    }
    if (decision.reachable < it.min_sets)
        decision.refusal = refused_answer{forward_refusal::no_server, no_server_retry_after};
    else if (decision.in_time < it.min_sets)
        decision.refusal = refused_answer{forward_refusal::overload, std::max(min_retry_after, min_excess)};
    return decision;
}

} // namespace pollengrade
