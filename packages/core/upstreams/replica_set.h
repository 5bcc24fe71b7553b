/** @file replica_set.h Interchangeable servers, and the attempts that wait for one of them. */
#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** Whether a new attempt of a replica set can be sent or queued. */
enum class availability : std::uint8_t {
    immediate, ///< a server can be sent the attempt now
    waiting,   ///< a server is expected to have room, and the attempt may be queued
    crowded,   ///< the queue is long, and the attempt may be queued if it is expected to be answered in time
    full,      ///< the queue is full
    none,      ///< no usable server is known
};

/**
 * The order in which waiting attempts are sent: priority, then urgency, then age. Attempts that are too late
 * for their target follow after all others.
 */
struct waiting_attempt {
    std::uint32_t priority = 0; ///< lower is sent first
    time_point latest_start;    ///< when it must be sent for a reply within the target; earlier is sent first
    attempt_id id;              ///< lower is older

    [[nodiscard]] bool is_too_late(time_point now) const { return now > latest_start; }

    friend auto operator<=>(const waiting_attempt&, const waiting_attempt&) = default;
};

/** How many attempts may wait, for each server of a set. */
struct queue_limits {
    std::uint32_t any = 64;    ///< any attempts
    std::uint32_t in_time = 0; ///< beyond that, those that are expected to be answered in time
};

/** One replica set. */
struct replica_set {
    std::vector<upstream_id> members;  ///< its servers, in any condition
    std::set<waiting_attempt> waiting; ///< queued attempts, in the order of sending
    queue_limits limits;               ///< how long the queue may be

    /** @return the number of queued attempts that a new one would wait for, because they are not too late. */
    [[nodiscard]] std::size_t waiting_in_time(time_point now) const {
        return static_cast<std::size_t>(
            std::count_if(waiting.begin(), waiting.end(),
                          [now](const waiting_attempt& it) { return !it.is_too_late(now); }));
    }
};

} // namespace pollengrade
