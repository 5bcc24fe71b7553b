/** @file admission.cpp Counts the replica sets that can reply in time. */
#include "core/queries/admission.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace pollengrade {

namespace {

constexpr duration min_retry_after =
    std::chrono::milliseconds{20}; ///< one event loop iteration and a new connection
constexpr duration no_server_retry_after =
    std::chrono::milliseconds{100}; ///< until a lost server is tried again
constexpr int honoured_part = 3;    ///< callers wait for at most this part of the time that they have left
constexpr double usual_reply_quantile = 0.9;

/**
 * @param pauses time left of the pauses of sets without another server
 * @param lacking sets that must have a server again
 * @return when a caller whose request needs them may retry
 */
duration wait_for_servers(std::vector<duration> pauses, std::size_t lacking, duration time_left) {
    if (pauses.size() < lacking)
        return no_server_retry_after;
    const auto last_needed = pauses.begin() + static_cast<std::ptrdiff_t>(lacking - 1);
    std::nth_element(pauses.begin(), last_needed, pauses.end());
    return std::max(min_retry_after, std::min(*last_needed, time_left / honoured_part));
}

} // namespace

admission_decision admit(const dispatcher& servers, const admission_inputs& it) {
    admission_decision decision;
    std::vector<duration> pauses; // left, at sets all of whose servers asked for one
    std::vector<duration> excess; // of the waits at reachable sets that cannot reply in time
    const duration reply = servers.latency_quantile(it.work, usual_reply_quantile).value_or(duration{0});
    for (const replica_set_name& set : it.sets) {
        const availability found = servers.availability_of(set, {}, placement_purpose::no_trial);
        if (found == availability::none) {
            if (const auto pause = servers.pause_wait(set))
                pauses.push_back(*pause);
            continue;
        }
        ++decision.reachable;
        if (found == availability::immediate) {
            ++decision.in_time;
            continue;
        }
        const duration queue = servers.expected_wait(set, it.work).value_or(duration{0});
        const duration rate = servers.rate_wait(set, {});
        const duration wait = std::max(queue, rate);
        decision.longest_wait = std::max(decision.longest_wait.value_or(duration{0}), wait);
        const duration rate_excess = rate + reply - std::min(it.target_left, it.time_left);
        const bool is_within_rates = rate.count() == 0 || rate_excess <= duration{0};
        const bool may_queue =
            found == availability::waiting
                ? queue < it.time_left
                : found == availability::crowded &&
                      servers.answers_within(set, it.work, std::min(it.target_left, it.time_left));
        if (may_queue && is_within_rates)
            ++decision.in_time;
        else
            excess.push_back(is_within_rates ? queue - it.time_left
                                             : std::max(queue - it.time_left, rate_excess));
    }
    if (decision.reachable < it.min_sets) {
        decision.refusal = refused_answer{
            forward_refusal::no_server,
            wait_for_servers(std::move(pauses), it.min_sets - decision.reachable, it.time_left)};
    } else if (decision.in_time < it.min_sets) {
        // The request can be served once as many more sets as it lacks have room.
        const auto last_needed =
            excess.begin() + static_cast<std::ptrdiff_t>(it.min_sets - decision.in_time - 1);
        std::nth_element(excess.begin(), last_needed, excess.end());
        decision.refusal = refused_answer{forward_refusal::overload, std::max(min_retry_after, *last_needed)};
    }
    return decision;
}

} // namespace pollengrade
