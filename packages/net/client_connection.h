/** @file client_connection.h One connection to a server: requests one at a time, never sent a second time. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/message_type.h"
#include "core/upstreams/connection_type.h"
#include "net/message_parser.h"
#include "net/socket_func.h"
#include "net/socket_poller.h"

namespace pollengrade {

/** A request as bytes: its start line and header lines, and a body that others may share. */
struct outgoing_request {
    std::string header;                      ///< up to and with the empty line
    std::shared_ptr<const std::string> body; ///< null for none
    bool brings_body = true;                 ///< whether the method's reply may have a body
};

/** What a connection tells its owner, which must not destroy it meanwhile. Never called from within a call.
 */
struct client_connection_hooks {
    std::function<void()> connected;            ///< requests may be sent
    std::function<void(reply_message)> replied; ///< a whole reply; a connection not kept has ended with it
    std::function<void(connection_end)> ended;  ///< nothing more will come
};

/**
 * An HTTP/1.1 connection of the request path. It carries one request at a time and says, for each, how far
 * it had come when the connection ended. A connection that brings bytes nobody waits for, or that the
 * server will not keep, ends after its reply.
 */
class client_connection {
public:
    /**
     * @param poller the loop's sockets
     * @param address "IPv4:port"
     * @param limits of each reply
     * @param hooks the owner
     */
    client_connection(socket_poller& poller, std::string_view address, message_limits limits,
                      client_connection_hooks hooks);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    client_connection(client_connection&&) = delete;
    client_connection& operator=(client_connection&&) = delete;
    ~client_connection() = default;

    /** Starts to connect. @return false when that failed at once; `ended` is then not called */
    [[nodiscard]] bool connect();
    /** Ends the connection without word to its owner. */
    void close();
    /** Sends a request. @pre connected, and no request is open */
    void send(outgoing_request request);

    /** @return how far the open request has come. */
    [[nodiscard]] send_state state() const noexcept { return state_; }
    /** @return whether a request is open. */
    [[nodiscard]] bool is_busy() const noexcept { return parser_.has_value(); }

private:
    void on_events(socket_events events);
    void on_connect_ended();
    void write();
    void read();
    bool take_bytes(std::string_view bytes);
    void finish_reply(bool is_clean);
    void end(connection_end why);
    void update_interest();

    socket_poller& poller_;                        ///< the loop's sockets
    std::string address_;                          ///< "IPv4:port"
    message_limits limits_;                        ///< of each reply
    client_connection_hooks hooks_;                ///< the owner
    unique_fd fd_;                                 ///< the socket
    socket_watch watch_;                           ///< ends before the socket does
    bool connected_ = false;                       ///< whether connecting has succeeded
    outgoing_request request_;                     ///< the open request
    std::size_t written_ = 0;                      ///< bytes of it written
    int interim_replies_ = 0;                      ///< read since the request went out
    std::optional<reply_parser> parser_;           ///< of the open request's reply
    send_state state_ = send_state::not_connected; ///< see state()
};

} // namespace pollengrade
