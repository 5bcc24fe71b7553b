/** @file fleet.h One node with a store and servers, all as processes of their own on loopback addresses. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "soak_type.h"

namespace pollengrade {

/** Limits of a fleet's node, and how its servers behave. */
struct fleet_options {
    bool has_routes = true;          ///< interface for callers: routes, or the project's own
    std::size_t memory_mb = 64;      ///< memory that the node may use, in MB
    std::size_t descriptors = 2048;  ///< descriptors that the node may open
    std::size_t grace_s = 6;         ///< time from the node's stop signal to its end, in seconds
    std::uint32_t body_bytes = 0;    ///< size of the servers' replies; 0 for a few records
    std::uint32_t service_us = 1000; ///< mean time of a request at a server, in microseconds
    /** Whether there is no peer, the seeds are lost, and the servers start after the node. */
    bool is_alone = false;
};

/** A process that this test has started; it is killed with the object. */
class child_process {
public:
    /** @param arguments program and arguments @param descriptors limit of open files; 0 keeps the own one */
    explicit child_process(const std::vector<std::string>& arguments, std::size_t descriptors = 0);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;
    ~child_process();

    [[nodiscard]] pid_t id() const noexcept { return id_; }
    [[nodiscard]] bool is_running();
    /** Waits for the end. @return the exit status; nullopt after a signal, or if it still runs at the limit
     */
    [[nodiscard]] std::optional<int> wait(std::size_t seconds);

private:
    pid_t id_;
    std::optional<int> status_; ///< wait status once ended
};

/** What a node has taken of its machine's memory. */
struct memory_use {
    std::size_t process = 0; ///< peak of the resident memory, in bytes
    std::size_t kernel = 0;  ///< peak of the bytes in the buffers of its callers' sockets, as sampled

    [[nodiscard]] std::size_t sum() const noexcept { return process + kernel; }
};

/** A node whose routes are in force, mostly a peer of it, and the processes that they need. */
class fleet {
public:
    /** Starts all and waits until the node is ready. */
    explicit fleet(const fleet_options& options);

    /** Address at which the node serves callers. */
    [[nodiscard]] std::string callers() const { return config_.node_address(0); }
    /** Address at which the node serves operators. */
    [[nodiscard]] std::string operators() const { return config_.host(250, 1) + ":8002"; }
    [[nodiscard]] child_process& node() { return *node_; }
    /** Takes a sample of the kernel's buffers. */
    void sample();
    [[nodiscard]] memory_use memory() const;
    /** @return the descriptors that the node has open. */
    [[nodiscard]] std::size_t descriptors() const;
    /** Changes the behaviour of servers. @param change as the control page of the stand-in takes it */
    void change_servers(const std::string& change) const;
    /** Writes the next version of the routes. */
    void write_routes();
    /** Sends one ordinary request whose caller waits for five seconds. @return its status; 0 for no answer */
    [[nodiscard]] unsigned ask() const;

private:
    /** Writes a node's settings. @return its command line */
    [[nodiscard]] std::vector<std::string> command_of_node(std::uint32_t n,
                                                           const fleet_options& options) const;
    void start_servers(const fleet_options& options);
    void wait_until_ready(bool has_routes) const;

    soak_config config_;                      ///< the addresses
    std::string path_;                        ///< of the nodes' settings, without number and ending
    std::optional<child_process> store_;      ///< stand-in of the store
    std::optional<child_process> upstreams_;  ///< stand-ins of the servers
    std::optional<child_process> node_;       ///< the node under test
    std::optional<child_process> other_node_; ///< its peer, which has no callers
    std::size_t kernel_peak_ = 0;             ///< highest sample
    std::uint64_t version_ = 0;               ///< of the routes, as written last
};

} // namespace pollengrade
