/** @file http_listener.h HTTP server: callers' connections and their requests. */
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
#include "net/caller_memory.h"
#include "net/message_parser.h"
#include "net/socket_poller.h"

namespace pollengrade {

/** Identifies a request that waits for its reply. */
using exchange_id = strong_type<struct exchange_tag, std::uint64_t>;

/** Why a listener could not be started. */
enum class listen_error : std::uint8_t { address_in_use_or_denied };

/** Size limits and timeouts for callers. */
struct caller_limits {
    message_limits message;  ///< size limits of a request
    duration header_timeout; ///< from a request's first byte to the end of its header lines
    duration idle_timeout;   ///< between requests, and between two reads of a body
};

/** Callbacks to a listener's owner. */
struct listener_hooks {
    std::function<void(exchange_id, request_message)> requested; ///< a request, to be answered by reply()
    std::function<void(exchange_id)> disconnected;               ///< the caller disconnected before its reply
    std::function<caller_limits()> limits;                       ///< @return the limits of the next request
};

/**
 * Accepts connections and reads one request at a time on each. Complete requests are passed to the owner. The
 * listener itself answers a request that cannot be parsed with an error, and closes its connection.
 */
class http_listener {
public:
    /**
     * @param poller watches the sockets
     * @param timers for timeouts
     * @param memory bounds what the connections hold
     * @param counts counts connections closed for others
     * @param max_connections limit of open connections; for a further one, little used ones are closed, and
     * it waits to be accepted while there are none
     * @param hooks callbacks to the owner
     */
    http_listener(socket_poller& poller, timer_queue& timers, caller_memory& memory, metrics& counts,
                  std::size_t max_connections, listener_hooks hooks);
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;
    http_listener(http_listener&&) = delete;
    http_listener& operator=(http_listener&&) = delete;
    ~http_listener();

    /** Starts to listen on "IPv4:port". */
    tl::expected<void, listen_error> listen(std::string_view address);
    /** Answers a request. The reply is dropped if the caller has disconnected. */
    void reply(exchange_id id, reply_message message);
    /** Closes each connection after its next reply, from now on. */
    void disable_keep_alive() { keep_alive_enabled_ = false; }
    /** Closes the listening socket, once the connections that wait for it are accepted. */
    void stop_accepting();
    /** Closes the connections on which no request has begun. One that has arrived unread is read first. */
    void close_idle();

    /** @return the number of requests of which a part has been read and whose reply isn't written completely.
     */
    [[nodiscard]] std::size_t open_exchanges() const;
    [[nodiscard]] std::size_t connections() const noexcept { return connections_.size(); }

private:
    class connection;
    using connection_key = std::uint64_t;

    void accept();
    void retire(connection_key key);
    /** Stops to accept for a moment, or until a connection is closed. */
    void pause_accepting();
    void resume_accepting();
    /** Closes connections that are little used. @return whether there is a place */
    bool make_place();

    socket_poller& poller_;       ///< watches the sockets
    timer_queue& timers_;         ///< for timeouts
    caller_memory& memory_;       ///< bounds what the connections hold
    metrics& counts_;             ///< see http_listener()
    std::size_t max_connections_; ///< limit of open connections
    listener_hooks hooks_;        ///< callbacks to the owner
    unique_fd listener_;          ///< the listening socket
    socket_watch watch_;          ///< watches the listening socket
    std::unordered_map<connection_key, std::unique_ptr<connection>> connections_; ///< open connections
    std::vector<std::unique_ptr<connection>> retired_;          ///< closed, destroyed in the next iteration
    std::unordered_map<exchange_id, connection_key> exchanges_; ///< requests that wait for their reply
    std::uint64_t next_key_ = 1;                                ///< key of the next connection
    std::uint64_t next_exchange_ = 1;                           ///< ID of the next request
    bool keep_alive_enabled_ = true;                            ///< see disable_keep_alive()
    bool accepting_ = false;                                    ///< whether the listening socket is watched
};

} // namespace pollengrade
