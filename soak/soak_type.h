/** @file soak_type.h Configuration of a soak run, and the records made during it. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/time_type.h"

namespace pollengrade {

/** Addresses and sizes of a run; tools/soak starts the processes with the same addresses. */
struct soak_config {
    std::uint64_t seed = 1;     ///< seed of all random decisions
    std::uint32_t net = 20;     ///< second octet of every address, so that runs can execute in parallel
    std::uint32_t nodes = 4;    ///< node processes under test
    std::uint32_t replicas = 3; ///< servers of each service; one process runs that replica of every service
    duration fault_duration{};  ///< how long faults are injected
    std::string directory;      ///< holds process IDs and logs

    /** @return connections to each server that the routes allow; with few of them, nodes have holders. */
    [[nodiscard]] std::uint32_t max_connections() const {
        constexpr std::uint32_t many = 16;
        constexpr std::uint32_t few = 6;
        constexpr std::uint64_t few_one_in = 3;
        return seed % few_one_in == 0 ? few : many;
    }
    /** @return whether only planned work is drawn. */
    [[nodiscard]] bool is_planned_only() const {
        constexpr std::uint64_t planned_one_in = 5;
        return seed % planned_one_in == 0;
    }
    /** @return whether half of the faults are servers that leave. */
    [[nodiscard]] bool has_many_departures() const {
        constexpr std::uint64_t departures_one_in = 4;
        return seed % departures_one_in == 1;
    }
    /** @return whether crowds of clients that misbehave are played. */
    [[nodiscard]] bool has_crowds() const {
        constexpr std::uint64_t crowds_one_in = 2;
        return seed % crowds_one_in == 1;
    }
    /** @return whether all nodes but one are lost for some seconds. */
    [[nodiscard]] bool leaves_node_alone() const {
        constexpr std::uint64_t losses_one_in = 3;
        return seed % losses_one_in == 2;
    }
    [[nodiscard]] std::string host(std::uint32_t third, std::uint32_t last) const {
        return "127." + std::to_string(net) + "." + std::to_string(third) + "." + std::to_string(last);
    }
    /** @return the address at which a node serves callers. */
    [[nodiscard]] std::string node_address(std::uint32_t node) const { return host(250, node + 1) + ":8000"; }
    /** @return the address of the proxy through which callers reach a node. */
    [[nodiscard]] std::string node_proxy(std::uint32_t node) const { return host(251, node + 1) + ":8000"; }
    /** @return the address at which a node answers readiness checks. */
    [[nodiscard]] std::string node_readiness(std::uint32_t node) const {
        return host(250, node + 1) + ":8001";
    }
    [[nodiscard]] std::string store_address() const { return host(249, 1) + ":7000"; }
    /** @return the address of the proxy through which a node reaches the store. */
    [[nodiscard]] std::string store_proxy(std::uint32_t node) const { return host(252, node + 1) + ":7000"; }
    [[nodiscard]] std::string server_address(std::uint32_t service, std::uint32_t replica) const {
        return host(service, replica + 1) + ":9000";
    }
    /** @return the address of the proxy through which nodes reach a server. */
    [[nodiscard]] std::string server_proxy(std::uint32_t service, std::uint32_t replica) const {
        return host(service, replica + 1) + ":9001";
    }
    /** @return the control address of the process that runs one replica. */
    [[nodiscard]] std::string control_address(std::uint32_t replica) const {
        return host(248, replica + 1) + ":7100";
    }
};

inline constexpr std::uint32_t service_count = 8;      ///< services in a run
inline constexpr std::uint32_t crowd_kinds = 4;        ///< ways in which clients of a crowd misbehave
inline constexpr std::size_t node_memory = 64'000'000; ///< bytes that tools/soak allows a node
inline constexpr const char* service_family = "desk";  ///< prefix of the service names

/** @return the name of a service. */
[[nodiscard]] inline std::string service_text(std::uint32_t service) {
    return std::string{service_family} + "-" + std::to_string(service);
}

/** The kind of route that a request uses. */
enum class route_kind : std::uint8_t {
    gather,    ///< fans out to the shards of the version in force
    lookup,    ///< idempotent, sent to one service
    order,     ///< not idempotent, sent to one service
    versioned, ///< idempotent, on the route that only the newest version defines
};

/** The outcome of a request. */
enum class soak_outcome : std::uint8_t {
    pending, ///< no reply yet
    replied, ///< a reply was received, with any status
    lost,    ///< the connection ended or the caller timed out before a reply
    broken,  ///< bytes were received that are no reply
};

/** One request as observed by its caller. */
struct request_record {
    std::string id;
    route_kind kind{};
    std::uint32_t node = 0; ///< node that received the request
    std::uint64_t version =
        0; ///< newest version when the request was sent; part of the path of route_kind::versioned
    time_point sent{};
    time_point ended{};
    soak_outcome outcome{};
    unsigned status = 0;
    std::vector<std::string> signatures; ///< server signatures in the reply
    std::size_t missing = 0;             ///< shards that the reply reports as missing
    std::string body;
};

/** One version of the routes, as written by the operator. */
struct route_version {
    std::uint64_t number = 0;
    std::vector<std::uint32_t> shards; ///< services that the gather route fans out to
    time_point sent{};                 ///< when it was first written
    time_point acknowledged{};         ///< when the store acknowledged it; zero if it has not
};

/** A time interval in which a fault or operation affected one node or all nodes. */
struct disturbance {
    std::uint32_t node = 0; ///< all_nodes for faults of the store and delays of this program; a replica in
                            ///< lists of server disturbances
    time_point from{};
    time_point to{};
    bool is_planned = false;   ///< whether it is a graceful stop or a reload
    bool ends_process = false; ///< whether the process is frozen, or ends and starts again
};

inline constexpr std::uint32_t all_nodes = 0xffff'ffff;

// Limits of the routes and settings of the soak, with the same values as at the users' sites, and limits of
// the checks.
inline constexpr duration gather_timeout = std::chrono::milliseconds{600};
inline constexpr duration gather_target = std::chrono::milliseconds{100};
inline constexpr duration single_timeout = std::chrono::milliseconds{1500};
inline constexpr std::uint32_t max_server_attempts = 2;
inline constexpr std::size_t max_records = 5;
inline constexpr double min_shard_ratio = 0.75;
inline constexpr double budget_ratio = 0.2;
inline constexpr std::uint32_t budget_slack = 40;
inline constexpr duration budget_window = std::chrono::seconds{10};
inline constexpr duration grace = std::chrono::seconds{6};
inline constexpr duration max_apply_time =
    std::chrono::seconds{3}; ///< from acknowledgement until a version must be in force
inline constexpr duration drain_time =
    std::chrono::seconds{3}; ///< from a server's word that it leaves until nothing may reach it
inline constexpr duration undisturbed_time =
    std::chrono::seconds{4}; ///< time without disturbance before time limits are checked
inline constexpr duration reply_slack = std::chrono::milliseconds{500};
inline constexpr duration max_recovery_time =
    std::chrono::seconds{12}; ///< from the last fault until requests must be served again

} // namespace pollengrade
