/** @file soak_type.h The world of one soak run: where everything is, and what is recorded of it. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/time_type.h"

namespace pollengrade {

/** Addresses and sizes; tools/soak starts the processes by the same rules. */
struct soak_config {
    std::uint64_t seed = 1;     ///< of everything that is drawn
    std::uint32_t net = 20;     ///< second octet of every address, so that runs can stand beside each other
    std::uint32_t nodes = 4;    ///< the programs under test
    std::uint32_t replicas = 3; ///< servers of each service, each replica of all in one process
    duration fault_duration{};  ///< how long faults come
    std::string directory;      ///< of process IDs and logs

    [[nodiscard]] std::string host(std::uint32_t third, std::uint32_t last) const {
        return "127." + std::to_string(net) + "." + std::to_string(third) + "." + std::to_string(last);
    }
    /** @return where a node serves callers. */
    [[nodiscard]] std::string node_address(std::uint32_t node) const { return host(250, node + 1) + ":8000"; }
    /** @return where callers reach a node through this program. */
    [[nodiscard]] std::string node_proxy(std::uint32_t node) const { return host(251, node + 1) + ":8000"; }
    /** @return where the balancer asks a node. */
    [[nodiscard]] std::string node_readiness(std::uint32_t node) const {
        return host(250, node + 1) + ":8001";
    }
    [[nodiscard]] std::string store_address() const { return host(249, 1) + ":7000"; }
    /** @return where a node reaches the store through this program. */
    [[nodiscard]] std::string store_proxy(std::uint32_t node) const { return host(252, node + 1) + ":7000"; }
    [[nodiscard]] std::string server_address(std::uint32_t service, std::uint32_t replica) const {
        return host(service, replica + 1) + ":9000";
    }
    /** @return where nodes reach a server through this program. */
    [[nodiscard]] std::string server_proxy(std::uint32_t service, std::uint32_t replica) const {
        return host(service, replica + 1) + ":9001";
    }
    /** @return the control page of the process of one replica. */
    [[nodiscard]] std::string control_address(std::uint32_t replica) const {
        return host(248, replica + 1) + ":7100";
    }
};

inline constexpr std::uint32_t service_count = 8;     ///< services of the soak
inline constexpr const char* service_family = "desk"; ///< their names' beginning

/** @return a service's name. */
[[nodiscard]] inline std::string service_text(std::uint32_t service) {
    return std::string{service_family} + "-" + std::to_string(service);
}

/** How a route treats its requests. */
enum class route_kind : std::uint8_t {
    gather,    ///< over the shards of the version in force
    lookup,    ///< idempotent, to one service
    order,     ///< not idempotent, to one service
    versioned, ///< idempotent, on the route that only the newest version names
};

/** What came of a request. */
enum class soak_outcome : std::uint8_t {
    pending, ///< nothing yet
    replied, ///< a reply of some status
    lost,    ///< its connection ended first
};

/** One request as its caller saw it. */
struct request_record {
    std::string id;
    route_kind kind{};
    std::uint32_t node = 0;    ///< it was sent to
    std::uint64_t version = 0; ///< newest version when it was sent; names the path of route_kind::versioned
    time_point sent{};
    time_point ended{};
    soak_outcome outcome{};
    unsigned status = 0;
    std::vector<std::string> signatures; ///< of the reply
    std::size_t missing = 0;             ///< shards left out, as the reply says
    std::string body;
};

/** One version of the routes, as the operator wrote it. */
struct route_version {
    std::uint64_t number = 0;
    std::vector<std::uint32_t> shards; ///< services that the gather names
    time_point sent{};                 ///< first written
    time_point acknowledged{};         ///< by the store; zero when it is not
};

/** A span in which something was done to a node, or to all. */
struct disturbance {
    std::uint32_t node = 0; ///< all_nodes for the store, the servers and the clock of this program
    time_point from{};
    time_point to{};
    bool is_planned = false; ///< a graceful stop or a reload
};

inline constexpr std::uint32_t all_nodes = 0xffff'ffff;

// What the soak's routes promise; the same figures as the sites'.
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
inline constexpr duration max_apply_time = std::chrono::seconds{3}; ///< for a version to be in force
inline constexpr duration undisturbed_time =
    std::chrono::seconds{4}; ///< calm for as long, before time bounds hold
inline constexpr duration reply_slack = std::chrono::milliseconds{500};
inline constexpr duration max_recovery_time =
    std::chrono::seconds{12}; ///< to serve again after the last fault

} // namespace pollengrade
