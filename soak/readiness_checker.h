/** @file readiness_checker.h Readiness checks that decide which nodes receive requests, as a load balancer's
 * do. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "core/base/timer_queue.h"
#include "net/client_connection.h"
#include "soak_type.h"

namespace pollengrade {

/** Checks every node once per second. Two consecutive failures remove a node from rotation until a check
 * succeeds. */
class readiness_checker {
public:
    readiness_checker(socket_poller& poller, timer_queue& timers, const soak_config& config);

    void start();
    /** @return a random node in rotation, or any node if none is in rotation. */
    [[nodiscard]] std::uint32_t pick_node(const std::function<std::uint64_t()>& random) const;
    /** @return the number of nodes in rotation. */
    [[nodiscard]] std::size_t count() const;

private:
    struct node_state {
        std::uint32_t failures = 2; ///< consecutive failed checks
        std::unique_ptr<client_connection> connection;
        bool succeeded = false; ///< whether the current check succeeded
    };

    void check_all();
    void check(std::uint32_t node);

    socket_poller& poller_;         ///< watches the sockets
    timer_queue& timers_;           ///< schedules the checks
    const soak_config& config_;     ///< addresses of the nodes
    std::vector<node_state> nodes_; ///< state by node number
};

} // namespace pollengrade
