/** @file admission.h Whether a forwarded request can be served at all, decided before anything is sent. */
#pragma once

#include <optional>
#include <span>

#include "core/queries/forward_type.h"
#include "core/upstreams/dispatcher.h"

namespace pollengrade {

/** What a request needs. */
struct admission_inputs {
    std::span<const replica_set_name> sets; ///< the replica sets that it is sent to
    std::size_t min_sets = 1;               ///< of them must reply
    work_class work;                        ///< for what is usual
    duration time_left{};                   ///< until its answer is of no more use
};

/** What was found. */
struct admission_decision {
    std::optional<refused_answer> refusal; ///< nullopt when the request is to be run
    std::size_t reachable = 0;             ///< replica sets with a usable server
    std::size_t in_time = 0;               ///< of them, those expected to reply in time
    std::optional<duration> longest_wait;  ///< expected of a set that cannot be sent the request at once
};

/**
 * Load it answers: shards that are down as a whole, and queues that have grown past what callers wait for. A
 * request that cannot be served is refused at once and told when to come back, in place of being held.
 */
[[nodiscard]] admission_decision admit(const dispatcher& servers, const admission_inputs& it);

} // namespace pollengrade
