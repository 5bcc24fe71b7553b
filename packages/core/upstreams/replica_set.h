/** @file replica_set.h Servers that serve alike, and the attempts that wait for one of them. */
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <set>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** What attempts of one replica set may find. */
enum class availability : std::uint8_t {
    immediate, ///< a server can be sent the attempt now
    waiting,   ///< a server will have room, and there is room to wait
    full,      ///< as many attempts wait as may
    none,      ///< no server is known to be usable
};

/** The order in which waiting attempts are sent: priority, then deadline, then age. */
struct waiting_attempt {
    std::uint32_t priority = 0; ///< lower goes first
    time_point deadline;        ///< earlier goes first
    attempt_id id;              ///< lower is older

    friend auto operator<=>(const waiting_attempt&, const waiting_attempt&) = default;
};

/** One replica set. */
struct replica_set {
    std::vector<upstream_id> members;  ///< its servers, whatever their condition
    std::set<waiting_attempt> waiting; ///< attempts not sent yet
    std::uint32_t max_waiting = 64;    ///< attempts that may wait for each server
};

} // namespace pollengrade
