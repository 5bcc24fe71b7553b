/** @file route_type.h Types of routes: the destinations and limits of callers' requests. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** One of the services among which a route's requests are split. */
struct weighted_service {
    service_name name;        ///< the service
    std::uint32_t weight = 1; ///< share of the requests, relative to the other weights

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/** Destinations and limits of the requests for one host and path prefix. */
struct route {
    std::string name;                           ///< name in logs
    std::string host;                           ///< lower case, without a port
    std::string prefix;                         ///< begins and ends with a slash
    bool is_idempotent = false;                 ///< whether a request may run more than once
    duration timeout{};                         ///< longest time until a caller is answered
    duration target{};                          ///< target latency, within which an answer has its full value
    std::uint32_t priority = 0;                 ///< a lower number is served first
    std::uint32_t max_attempts = 1;             ///< servers (of each shard) that one request may be sent to
    std::vector<weighted_service> destinations; ///< one service, or several by weight; empty for a gather
    std::vector<service_name> shards; ///< services that all receive each request; empty if not a gather
    std::size_t max_records = 0;      ///< for a gather: number of top records that are kept
    double min_shard_ratio = 0;       ///< for a gather: least share of the shards for an answer

    [[nodiscard]] bool is_gather() const noexcept { return !shards.empty(); }
};

/** Settings common to all servers of one service. */
struct route_service {
    service_name name;                 ///< the service
    std::uint32_t max_connections = 1; ///< connections that one server accepts from all clients together
};

/** Limits on callers' requests. */
struct route_limits {
    std::size_t header_bytes = 0; ///< size of a request's start line and header lines
    std::size_t body_bytes = 0;   ///< size of a request's body
    duration header_timeout{};    ///< from a request's first byte to the end of its header lines
    duration idle_timeout{};      ///< between two requests, and between two reads of a body
};

} // namespace pollengrade
