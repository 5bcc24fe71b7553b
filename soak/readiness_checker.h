/** @file readiness_checker.h The soak's balancer: which nodes get requests. */
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

/** Asks every node each second; two misses in a row take it out until it answers again. */
class readiness_checker {
public:
    readiness_checker(socket_poller& poller, timer_queue& timers, const soak_config& config);

    void start();
    /** @return a node in rotation, or any when none is. */
    [[nodiscard]] std::uint32_t pick(const std::function<std::uint64_t()>& random) const;
    /** @return how many are in rotation. */
    [[nodiscard]] std::size_t count() const;

private:
    struct node_state {
        std::uint32_t misses = 2; ///< in a row
        std::unique_ptr<client_connection> connection;
        bool answered = false; ///< the open question was answered well
    };

    void probe_all();
    void probe(std::uint32_t node);

    socket_poller& poller_;         ///< the loop's sockets
    timer_queue& timers_;           ///< the clock
    const soak_config& config_;     ///< where the nodes are
    std::vector<node_state> nodes_; ///< by number
};

} // namespace pollengrade
