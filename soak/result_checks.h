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
    std::string server; ///< in one of its starts
    std::string method;
    std::string path;
    std::string from; ///< IPv4 address of the node that sent it
};

/** An answer in which a server stated that it leaves. */
struct leaving_answer {
    std::string request;
    std::string server; ///< in one of its starts
    std::string from;   ///< IPv4 address of the node that read it
};

/** The store's acknowledgement that a server drains, or that its entry is removed. */
struct acknowledged_departure {
    std::int64_t at_ms = 0; ///< Unix milliseconds
    std::string server;
};

/** What the servers' processes have logged of servers that leave. */
struct departure_records {
    std::vector<leaving_answer> answers;
    std::vector<acknowledged_departure> acknowledged;
};

using runs_by_request = std::multimap<std::string, server_run>;

/** All results of a run. */
struct soak_results {
    std::span<const request_record> records;          ///< in the order of sending
    std::span<const route_version> versions;          ///< versions of the routes
    std::span<const disturbance> disturbances;        ///< disturbances of nodes and the store
    std::span<const disturbance> server_disturbances; ///< disturbances of servers
    runs_by_request runs;                             ///< executions by request ID
    departure_records departures;                     ///< servers that left
    std::uint32_t net = 0;                            ///< see soak_config::net
    std::int64_t unix_ms_at_zero = 0;                 ///< Unix milliseconds at the zero of the records' clock
    std::vector<int> node_exit_codes;                 ///< exit codes of node processes that ended
    std::uint32_t overdue_stops = 0; ///< nodes still running after the grace period of a stop
    std::size_t highest_memory = 0;  ///< highest resident memory of any node, in bytes
    time_point last_fault{};         ///< when the last fault ended
};

/** A violated guarantee. */
struct violation {
    std::string check;   ///< short name of the check, as in docs/SOAK.md
    std::string details; ///< the request and what was observed
};

/** @return the executions that the servers' processes have logged, in lines "run MS REQUEST SERVICE SERVER
 * METHOD PATH FROM". */
[[nodiscard]] runs_by_request read_runs(const std::string& directory, std::uint32_t replicas);
/** @return what the servers' processes have logged in lines "leaving MS REQUEST SERVER FROM" and "left MS
 * SERVER HOW". */
[[nodiscard]] departure_records read_departures(const std::string& directory, std::uint32_t replicas);
/** @return the exit codes that the nodes' supervisors in tools/soak have written, one per line. */
[[nodiscard]] std::vector<int> read_exit_codes(const std::string& directory, std::uint32_t nodes);

/** @return all violated guarantees. */
[[nodiscard]] std::vector<violation> check_results(const soak_results& it);

} // namespace pollengrade
