/** @file load_generator.h Callers of the soak: requests at random times over connections that they keep. */
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

/** Sends requests and records what comes of them. */
class load_generator {
public:
    /**
     * @param poller the loop's sockets
     * @param timers the clock
     * @param random random numbers
     * @param config where the nodes are
     * @param versions the operator's versions; the last is the newest
     * @param pick chooses a node for the next request
     */
    load_generator(socket_poller& poller, timer_queue& timers, std::function<std::uint64_t()> random,
                   const soak_config& config, const std::vector<route_version>& versions,
                   std::function<std::uint32_t()> pick);

    /** Starts to send. @param rate requests a second */
    void start(double rate);
    /** Sends nothing more. */
    void stop() { sending_ = false; }
    /** Forgets the connections to a node whose process has ended. */
    [[nodiscard]] const std::vector<request_record>& records() const noexcept { return records_; }

private:
    /** One connection to a node. */
    struct link {
        std::unique_ptr<client_connection> connection;
        std::uint32_t node = 0;
        std::size_t record = 0; ///< the open request
        std::optional<timer_id> limit;
    };
    using link_key = std::uint64_t;

    void schedule();
    void send_one();
    [[nodiscard]] request_record draw();
    [[nodiscard]] outgoing_request encode(const request_record& it) const;
    void open(std::uint32_t node, std::size_t record);
    void send(link_key key, std::size_t record);
    void on_reply(link_key key, reply_message reply);
    void on_lost(link_key key);
    void drop(link_key key);

    socket_poller& poller_;                                   ///< the loop's sockets
    timer_queue& timers_;                                     ///< the clock
    std::function<std::uint64_t()> random_;                   ///< random numbers
    const soak_config& config_;                               ///< where the nodes are
    const std::vector<route_version>& versions_;              ///< of the routes
    std::function<std::uint32_t()> pick_;                     ///< chooses a node
    double rate_ = 0;                                         ///< requests a second
    bool sending_ = false;                                    ///< see start(), stop()
    time_point next_{};                                       ///< when the next request is due
    std::vector<request_record> records_;                     ///< every request
    std::map<link_key, link> links_;                          ///< open connections
    std::multimap<std::uint32_t, link_key> idle_;             ///< unused ones, by node
    std::vector<std::unique_ptr<client_connection>> retired_; ///< destroyed at the next turn
    link_key next_link_ = 1;                                  ///< the next connection's key
};

} // namespace pollengrade
