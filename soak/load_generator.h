/** @file load_generator.h Load generator of the soak: sends requests at random times over persistent
 * connections. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "core/base/timer_queue.h"
#include "net/client_connection.h"
#include "soak_type.h"

namespace pollengrade {

/** Sends requests and records their outcomes. */
class load_generator {
public:
    /**
     * @param poller watches the sockets
     * @param timers schedules requests and time-outs
     * @param random source of random numbers
     * @param config addresses of the nodes
     * @param versions versions of the routes, newest last
     * @param pick selects the node for the next request
     */
    load_generator(socket_poller& poller, timer_queue& timers, std::function<std::uint64_t()> random,
                   const soak_config& config, const std::vector<route_version>& versions,
                   std::function<std::uint32_t()> pick);

    /** Starts sending. @param rate requests per second */
    void start(double rate);
    /** Stops sending new requests. */
    void stop() { sending_ = false; }
    /** @return all requests, in the order of sending. */
    [[nodiscard]] const std::vector<request_record>& records() const noexcept { return records_; }

private:
    /** One connection to a node and its open request. */
    struct caller_connection {
        std::unique_ptr<client_connection> connection;
        std::uint32_t node = 0;
        std::size_t record = 0; ///< index of the open request in records_
        std::optional<timer_id> timeout;
    };
    using connection_key = std::uint64_t;

    void schedule();
    void send_one();
    [[nodiscard]] request_record make_record();
    [[nodiscard]] outgoing_request encode(const request_record& it) const;
    void open(std::uint32_t node, std::size_t record);
    void send(connection_key key, std::size_t record);
    void on_reply(connection_key key, reply_message reply);
    void on_lost(connection_key key, soak_outcome outcome);
    void close(connection_key key);

    socket_poller& poller_;                                   ///< watches the sockets
    timer_queue& timers_;                                     ///< schedules requests and time-outs
    std::function<std::uint64_t()> random_;                   ///< source of random numbers
    const soak_config& config_;                               ///< addresses of the nodes
    const std::vector<route_version>& versions_;              ///< versions of the routes
    std::function<std::uint32_t()> pick_node_;                ///< selects a node
    double rate_ = 0;                                         ///< requests per second
    bool sending_ = false;                                    ///< whether new requests are sent
    time_point next_arrival_{};                               ///< when the next request is due
    std::vector<request_record> records_;                     ///< see records()
    std::map<connection_key, caller_connection> connections_; ///< open connections
    std::multimap<std::uint32_t, connection_key> idle_;       ///< idle connections, by node
    std::vector<std::unique_ptr<client_connection>>
        retired_;                 ///< closed connections, destroyed in the next loop iteration
    connection_key next_key_ = 1; ///< key of the next connection
};

} // namespace pollengrade
