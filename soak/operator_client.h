/** @file operator_client.h Writes versions of the routes to the store, as an operator does. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "core/base/timer_queue.h"
#include "net/client_connection.h"
#include "soak_type.h"

namespace pollengrade {

/** Writes one version at a time and retries each write until the store acknowledges it. */
class operator_client {
public:
    operator_client(socket_poller& poller, timer_queue& timers, const soak_config& config);

    /** Writes a new version; ignored while a write is not acknowledged. @param shards services of the gather
     * route */
    void write(std::vector<std::uint32_t> shards);
    /** @return all versions, oldest first. */
    [[nodiscard]] const std::vector<route_version>& versions() const noexcept { return versions_; }
    /** @return whether the newest version is acknowledged. */
    [[nodiscard]] bool is_acknowledged() const {
        return !versions_.empty() && versions_.back().acknowledged != time_point{};
    }

private:
    void send_call();
    void on_reply(unsigned status);
    void finish_call();

    socket_poller& poller_;               ///< watches the sockets
    timer_queue& timers_;                 ///< schedules time-outs and retries
    const soak_config& config_;           ///< address of the store
    std::vector<route_version> versions_; ///< see versions()
    bool exists_ = false;                 ///< whether the routes object is known to exist in the store
    std::unique_ptr<client_connection> connection_; ///< connection of the current call
    std::vector<std::unique_ptr<client_connection>>
        retired_;                     ///< closed connections, destroyed in the next loop iteration
    std::optional<timer_id> timeout_; ///< time-out of the current call
};

} // namespace pollengrade
