/** @file route_type.h Light types of routes: where a caller's request goes, and under which terms. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** One of the services that share a route's requests. */
struct weighted_service {
    service_name name;        ///< the service
    std::uint32_t weight = 1; ///< its share, relative to the others'

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/** Where the requests of one host under one path go. */
struct route {
    std::string name;                           ///< for logs
    std::string host;                           ///< lower case, without a port
    std::string prefix;                         ///< begins and ends with a slash
    bool is_idempotent = false;                 ///< whether a request may run more than once
    duration timeout{};                         ///< longest time that a caller is kept waiting
    duration target{};                          ///< time within which an answer has its full worth
    std::uint32_t priority = 0;                 ///< lower goes first
    std::uint32_t max_attempts = 1;             ///< servers that one request may be sent to, of each shard
    std::vector<weighted_service> destinations; ///< one service, or several by weight; empty for a gather
    std::vector<service_name> shards;           ///< services that are all asked; empty for no gather
    std::size_t max_records = 0;                ///< for a gather: the greatest records that are kept
    double min_shard_ratio = 0;                 ///< for a gather: share of the shards that makes an answer

    [[nodiscard]] bool is_gather() const noexcept { return !shards.empty(); }
};

/** What is common to the servers of one service. */
struct route_service {
    service_name name;                 ///< the service
    std::uint32_t max_connections = 1; ///< that one server takes from all callers together
};

/** What callers may send. */
struct route_limits {
    std::size_t header_bytes = 0; ///< start line and header lines of a request
    std::size_t body_bytes = 0;   ///< body of a request
    duration header_timeout{};    ///< from a request's first byte to the end of its header lines
    duration idle_timeout{};      ///< between requests, and between two pieces of a body
};

} // namespace pollengrade
