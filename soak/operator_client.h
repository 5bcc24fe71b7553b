/** @file operator_client.h The operator of the soak: writes versions of the routes into the store. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "core/base/timer_queue.h"
#include "net/client_connection.h"
#include "soak_type.h"

namespace pollengrade {

/** Writes one version after another; a write without an answer is made again until it has one. */
class operator_client {
public:
    operator_client(socket_poller& poller, timer_queue& timers, const soak_config& config);

    /** Writes a new version. Ignored while one is on its way. @param shards services of the gather */
    void write(std::vector<std::uint32_t> shards);
    /** @return every version, oldest first. */
    [[nodiscard]] const std::vector<route_version>& versions() const noexcept { return versions_; }
    /** @return whether the newest is acknowledged. */
    [[nodiscard]] bool is_acknowledged() const {
        return !versions_.empty() && versions_.back().acknowledged != time_point{};
    }

private:
    void send();
    void on_reply(unsigned status);
    void finish_call();

    socket_poller& poller_;                                   ///< the loop's sockets
    timer_queue& timers_;                                     ///< the clock
    const soak_config& config_;                               ///< where the store is
    std::vector<route_version> versions_;                     ///< see versions()
    bool exists_ = false;                                     ///< whether the object is known to exist
    std::unique_ptr<client_connection> connection_;           ///< of the call
    std::vector<std::unique_ptr<client_connection>> retired_; ///< destroyed at the next turn
    std::optional<timer_id> limit_;                           ///< of the call
};

} // namespace pollengrade
