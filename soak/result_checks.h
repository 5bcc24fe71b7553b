/** @file result_checks.h Checks a run against the promises, from what callers and servers saw. */
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "soak_type.h"

namespace pollengrade {

/** One request that a server began to run. */
struct server_run {
    std::int64_t at_ms = 0; ///< Unix milliseconds
    std::string service;
    std::string server;
    std::string method;
    std::string path;
};

using runs_by_request = std::multimap<std::string, server_run>;

/** All that a run has left. */
struct soak_results {
    std::span<const request_record> records;          ///< in the order of sending
    std::span<const route_version> versions;          ///< of the routes
    std::span<const disturbance> disturbances;        ///< of nodes and the store
    std::span<const disturbance> server_disturbances; ///< of servers
    runs_by_request runs;                             ///< by request ID
    std::vector<int> node_exit_codes;                 ///< of processes that ended
    std::uint32_t overdue_stops = 0;                  ///< nodes that ran on after their grace
    time_point last_fault{};                          ///< when the last fault ended
};

/** A broken promise. */
struct violation {
    std::string check;   ///< its short name, as in docs/SOAK.md
    std::string details; ///< the request and what was seen
};

/** @return what the servers' processes have written: lines "run MS REQUEST SERVICE SERVER METHOD PATH". */
[[nodiscard]] runs_by_request read_runs(const std::string& directory, std::uint32_t replicas);
/** @return the exit codes that the nodes' keepers have written, one a line. */
[[nodiscard]] std::vector<int> read_exit_codes(const std::string& directory, std::uint32_t nodes);

/** @return every broken promise. */
[[nodiscard]] std::vector<violation> check_results(const soak_results& it);

} // namespace pollengrade
