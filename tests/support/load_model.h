/** @file load_model.h Plays a load against nodes with modelled servers on a simulated clock, and reports what
 * callers got. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/queries/forwarder.h"

namespace pollengrade {

/** A span of time, from the start of the load. */
struct load_span {
    duration from{0};
    duration until{0};

    [[nodiscard]] bool contains(duration it) const { return it >= from && it < until; }
};

/** How one server misbehaves; each trouble lasts for one span. */
struct server_troubles {
    load_span slow;           ///< while work takes slow_factor times as long
    double slow_factor = 1;   ///< see slow
    load_span silent;         ///< while it reads requests and never replies
    load_span refusing;       ///< while it refuses refused_share of the requests
    double refused_share = 0; ///< see refusing
    load_span limited;        ///< while it states the request rate that it accepts
    double stated_rate = 0;   ///< see limited; requests per second from all nodes
};

/** A load and the deployment that it meets. Every shard has the same number of equal servers. */
struct load_plan {
    std::uint64_t seed = 1;
    std::size_t nodes = 6;          ///< nodes, to which callers are spread evenly
    std::size_t shards = 10;        ///< shards of the route's gather
    std::size_t replicas = 3;       ///< servers of each shard
    std::uint32_t slots = 3;        ///< requests that a server runs at a time
    std::uint32_t queue = 18;       ///< requests that wait at a server; it refuses further ones
    std::uint32_t connections = 30; ///< that a server accepts from all nodes
    double work_ms = 20;            ///< mean time of one request at a server
    double work_spread = 0.35;      ///< standard deviation of its logarithm
    duration pause_length{0};       ///< of a server, each pause_period; zero for none
    duration pause_period = std::chrono::milliseconds{4500};
    double rate = 130;                          ///< queries per second, over all nodes
    duration length = std::chrono::seconds{10}; ///< of the load
    duration target = std::chrono::milliseconds{150};
    duration deadline = std::chrono::milliseconds{800};
    double min_shard_ratio = 0.89;                                 ///< least share of the shards in an answer
    retry_budget_limits budget{0.2, 52, std::chrono::seconds{10}}; ///< over all nodes
    /** @return the troubles of a server, by shard and replica. */
    std::function<server_troubles(std::size_t, std::size_t)> troubles = [](std::size_t, std::size_t) {
        return server_troubles{};
    };
};

/** What callers got, by the three measures, and what it cost the servers. */
struct load_result {
    std::size_t asked = 0;   ///< queries
    std::size_t on_time = 0; ///< successes within the target
    std::size_t late = 0;    ///< successes after the target
    std::size_t failed = 0;  ///< queries that failed or were refused
    std::size_t whole = 0;   ///< successes with every shard
    double shards = 0;       ///< mean share of the shards in successes
    double extra = 0;        ///< requests to servers beyond one for each shard, as a share of those
    duration p50{};          ///< time to the answer, over all queries
    duration p99{};
    duration p99_9{};
    duration p99_failed{}; ///< time to the failure, over queries that failed
    /** Most requests that a server got in 4 s, as a share of what the rate that it states allows then. */
    double rate_use = 0;
    double rate_used = 0; ///< requests to servers that state a rate, as a share of the stated rates

    [[nodiscard]] double share_on_time() const {
        return static_cast<double>(on_time) / static_cast<double>(asked);
    }
    [[nodiscard]] double share_whole() const {
        return static_cast<double>(whole) / static_cast<double>(asked);
    }
};

/** Plays a load against the real decisions. */
[[nodiscard]] load_result play(const load_plan& plan);

/**
 * Plays the same load with perfect knowledge: each query knows when each server would reply, asks only
 * servers that reply by the target, and takes no slot for a query that cannot have its least shards by then.
 * @return what callers get; of the fields only asked, on_time, failed, whole and shards are set
 */
[[nodiscard]] load_result play_with_foresight(const load_plan& plan);

} // namespace pollengrade
