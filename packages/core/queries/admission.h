/** @file admission.h Admission control: decides whether a forwarded request can be served before it is sent.
 */
#pragma once

#include <optional>
#include <vector>

#include "core/queries/forward_type.h"
#include "core/upstreams/dispatcher.h"

namespace pollengrade {

/** What a request needs in order to be served. */
struct admission_inputs {
    std::vector<replica_set_name> sets; ///< replica sets that the request is sent to
    std::size_t min_sets = 1;           ///< number of sets that must reply
    work_class work;                    ///< class of work, for expected reply times
    duration time_left{};               ///< time until the answer is no longer useful
    duration target_left{};             ///< time until the answer is worth less; negative if it has passed
};

/** Result of the admission check. */
struct admission_decision {
    std::optional<refused_answer> refusal; ///< nullopt if the request is admitted
    std::size_t reachable = 0;             ///< replica sets with a usable server
    std::size_t in_time = 0;               ///< reachable sets that are expected to reply in time
    std::optional<duration> longest_wait;  ///< longest expected wait at sets that cannot send at once
};

/**
 * Protects against shards that are entirely down, against queues that have grown longer than callers wait,
 * and against load beyond the rates that all servers of a shard state. Requests within those rates are served
 * in time; one that would have to wait for them past its target would only be overtaken by later ones. A
 * request that cannot be served is refused at once with a retry time instead of being queued.
 */
[[nodiscard]] admission_decision admit(const dispatcher& servers, const admission_inputs& it);

} // namespace pollengrade
