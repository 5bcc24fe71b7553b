/** @file placement_func.cpp Compares the expected cost of servers. */
#include "core/upstreams/placement_func.h"

#include <algorithm>
#include <array>

namespace pollengrade {

namespace {

/** Multiplies the cost of a server of another failure domain. */
constexpr double cross_domain_cost_factor = 2;
/** Multiplies the cost of a degraded server, to rank it after all ready ones. */
constexpr double degraded_cost_factor = 64;
constexpr double jitter = 0.1; ///< random addition, as a share of the cost
constexpr std::uint64_t jitter_steps = 1024;

double cost_of(const placement_candidate& it) {
    const double queueing = static_cast<double>(it.in_flight + 1) / std::max(1U, it.slots);
    double cost = it.slowness * std::max(1.0, queueing) + queueing / 4;
    if (!it.is_local)
        cost *= cross_domain_cost_factor;
    if (!it.is_ready)
        cost *= degraded_cost_factor;
    return cost;
}

} // namespace

std::string_view to_string(placement_purpose it) {
    constexpr std::array<std::string_view, 4> names{"first", "no_trial", "retry", "hedge"};
    return names.at(static_cast<std::size_t>(it));
}

std::optional<std::size_t> place(std::span<const placement_candidate> candidates, placement_purpose purpose,
                                 const std::function<std::uint64_t()>& random) {
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const placement_candidate& it = candidates[n];
        if (it.is_trial_due && purpose == placement_purpose::first)
            return n;
        if (!it.is_ready && purpose == placement_purpose::hedge)
            continue;
        const double drawn = static_cast<double>(random() % jitter_steps) / jitter_steps;
        const double cost = cost_of(it) * (1 + jitter * drawn);
        if (!best || cost < best_cost) {
            best = n;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace pollengrade
