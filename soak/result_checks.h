/** @file result_checks.h Checks the results of a run against the system's guarantees, from the records of
 * callers and servers. */
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "soak_type.h"

namespace pollengrade {

/** One execution of a request that a server started. */
struct server_run {
    std::int64_t at_ms = 0; ///< Unix milliseconds
    std::string service;
    std::string server;
    std::string method;
    std::string path;
};

using runs_by_request = std::multimap<std::string, server_run>;

/** All results of a run. */
struct soak_results {
    std::span<const request_record> records;          ///< in the order of sending
    std::span<const route_version> versions;          ///< versions of the routes
    std::span<const disturbance> disturbances;        ///< disturbances of nodes and the store
    std::span<const disturbance> server_disturbances; ///< disturbances of servers
    runs_by_request runs;                             ///< executions by request ID
    std::vector<int> node_exit_codes;                 ///< exit codes of node processes that ended
    std::uint32_t overdue_stops = 0; ///< nodes still running after the grace period of a stop
    time_point last_fault{};         ///< when the last fault ended
};

/** A violated guarantee. */
struct violation {
    std::string check;   ///< short name of the check, as in docs/SOAK.md
    std::string details; ///< the request and what was observed
};

/** @return the executions that the servers' processes have logged, in lines "run MS REQUEST SERVICE SERVER
 * METHOD PATH". */
[[nodiscard]] runs_by_request read_runs(const std::string& directory, std::uint32_t replicas);
/** @return the exit codes that the nodes' supervisors in tools/soak have written, one per line. */
[[nodiscard]] std::vector<int> read_exit_codes(const std::string& directory, std::uint32_t nodes);

/** @return all violated guarantees. */
[[nodiscard]] std::vector<violation> check_results(const soak_results& it);

} // namespace pollengrade
