/** @file admission.h Admission control: decides whether a forwarded request can be served before it is sent.
 */
#pragma once

#include <optional>
#include <span>

#include "core/queries/forward_type.h"
#include "core/upstreams/dispatcher.h"

namespace pollengrade {

/** What a request needs in order to be served. */
struct admission_inputs {
    std::span<const replica_set_name> sets; ///< replica sets that the request is sent to
    std::size_t min_sets = 1;               ///< number of sets that must reply
    work_class work;                        ///< class of work, for expected reply times
    duration time_left{};                   ///< time until the answer is no longer useful
};

/** Result of the admission check. */
struct admission_decision {
    std::optional<refused_answer> refusal; ///< nullopt if the request is admitted
    std::size_t reachable = 0;             ///< replica sets with a usable server
    std::size_t in_time = 0;               ///< reachable sets that are expected to reply in time
    std::optional<duration> longest_wait;  ///< longest expected wait at sets that cannot send at once
};

/**
 * Protects against shards that are entirely down and against queues that have grown longer than callers wait.
 * A request that cannot be served is refused at once with a retry time instead of being queued.
 */
[[nodiscard]] admission_decision admit(const dispatcher& servers, const admission_inputs& it);

} // namespace pollengrade
