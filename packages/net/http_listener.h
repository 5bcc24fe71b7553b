/** @file http_listener.h The serving side of HTTP: callers' connections and their requests. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

#include <tl/expected.hpp>

#include "core/base/message_type.h"
#include "core/base/strong_type.h"
#include "core/base/timer_queue.h"
#include "net/message_parser.h"
#include "net/socket_poller.h"

namespace pollengrade {

/** Names one request that waits for its reply. */
using exchange_id = strong_type<struct exchange_tag, std::uint64_t>;

/** Why a listener could not be started. */
enum class listen_error : std::uint8_t { address_in_use_or_denied };

/** What callers may send, and how long they may take. */
struct caller_limits {
    message_limits message;  ///< bounds of one request
    duration header_timeout; ///< from a request's first byte to the end of its header lines
    duration idle_timeout;   ///< between requests, and between two pieces of a body
};

/** What a listener needs of its owner. */
struct listener_hooks {
    std::function<void(exchange_id, request_message)> requested; ///< a whole request; answered by reply()
    std::function<void(exchange_id)> gone;                       ///< the caller left before its reply
    std::function<caller_limits()> limits;                       ///< in force for the next request
};

/**
 * Accepts connections and reads requests, one at a time on each. A request is handed on when it is whole;
 * what cannot be read is answered here and ends its connection.
 */
class http_listener {
public:
    /**
     * @param poller the loop's sockets
     * @param timers the clock
     * @param max_connections open at a time; more wait to be accepted
     * @param hooks the owner
     */
    http_listener(socket_poller& poller, timer_queue& timers, std::size_t max_connections,
                  listener_hooks hooks);
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;
    http_listener(http_listener&&) = delete;
    http_listener& operator=(http_listener&&) = delete;
    ~http_listener();

    /** Starts to listen on "IPv4:port". */
    tl::expected<void, listen_error> listen(std::string_view address);
    /** Answers a request; one whose caller has left is dropped. */
    void reply(exchange_id id, const reply_message& message);
    /** From now on no connection is kept after its reply. */
    void stop_keeping() { keeping_ = false; }
    /** Ends connections on which no request has begun. */
    void close_idle();

    /** @return requests read in whole or in part whose reply is not written in full. */
    [[nodiscard]] std::size_t open_exchanges() const;
    [[nodiscard]] std::size_t connections() const noexcept { return connections_.size(); }

private:
    class connection;
    using connection_key = std::uint64_t;

    void accept();
    void retire(connection_key key);
    void update_accepting();

    socket_poller& poller_;                                                       ///< the loop's sockets
    timer_queue& timers_;                                                         ///< the clock
    std::size_t max_connections_;                                                 ///< open at a time
    listener_hooks hooks_;                                                        ///< the owner
    unique_fd listener_;                                                          ///< the listening socket
    socket_watch watch_;                                                          ///< of the listening socket
    std::unordered_map<connection_key, std::unique_ptr<connection>> connections_; ///< open
    std::vector<std::unique_ptr<connection>> retired_;          ///< destroyed at the next turn
    std::unordered_map<exchange_id, connection_key> exchanges_; ///< waiting for their reply
    std::uint64_t next_key_ = 1;                                ///< the next connection's
    std::uint64_t next_exchange_ = 1;                           ///< the next request's
    bool keeping_ = true;                                       ///< see stop_keeping()
    bool accepting_ = false;                                    ///< whether the watch waits
};

} // namespace pollengrade
