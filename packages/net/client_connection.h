/** @file client_connection.h A connection to a server: one request at a time, without resending. */
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

/** An encoded request: start line and header lines, and a body that may be shared with other requests. */
struct outgoing_request {
    std::string header;                      ///< up to and including the empty line
    std::shared_ptr<const std::string> body; ///< null for none
    bool allows_reply_body = true;           ///< whether a reply to the method may have a body
};

/** Callbacks to a connection's owner, which must not destroy the connection during a callback. They are never
 * called from within a call of the owner. */
struct client_connection_hooks {
    std::function<void()> connected;            ///< the connection is established, and requests may be sent
    std::function<void(reply_message)> replied; ///< a complete reply; already closed if not kept alive
    std::function<void(connection_end)> ended;  ///< the connection ended; no more callbacks follow
    /** Bytes of a reply have been read that is not complete. @return whether to read on; otherwise nothing is
     * read until resume(). Null to read on always. The owner may close the connection in it. */
    std::function<bool(const reply_extent&)> received = nullptr;
};

/**
 * An HTTP/1.1 connection to a server. It carries one request at a time and reports how far the request had
 * progressed when the connection ended. A reply without a length is complete only if the server ended the
 * connection in order after the whole request. The connection is closed if the server sends bytes that belong
 * to no request, or after a reply if the server doesn't keep the connection alive.
 */
class client_connection {
public:
    /**
     * @param poller watches the socket
     * @param address "IPv4:port"
     * @param limits size limits of each reply
     * @param hooks callbacks to the owner
     * @param source IPv4 address to connect from; empty to let the system choose
     */
    client_connection(socket_poller& poller, std::string_view address, message_limits limits,
                      client_connection_hooks hooks, std::string_view source = {});
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    client_connection(client_connection&&) = delete;
    client_connection& operator=(client_connection&&) = delete;
    ~client_connection() = default;

    /** Starts to connect. @return false if that failed at once; `ended` is not called then */
    [[nodiscard]] bool connect();
    /** Closes the connection without notifying the owner. */
    void close();
    /** Reads on after `received` has returned false. */
    void resume();
    /** Sends a request. @pre the connection is established, and no request is open */
    void send(outgoing_request request);

    /** @return how far the open request has progressed. */
    [[nodiscard]] send_state state() const noexcept { return state_; }
    /** @return whether a request is open. */
    [[nodiscard]] bool is_busy() const noexcept { return parser_.has_value(); }

private:
    void watch_socket(socket_interest interest);
    void on_events(socket_events events);
    void on_connect_ended();
    void write();
    void read();
    void on_end_of_stream();
    bool process_bytes(std::string_view bytes);
    [[nodiscard]] bool is_request_written() const;
    [[nodiscard]] bool may_read_on();
    void finish_reply(bool has_no_excess_bytes);
    void end(connection_end why);
    void update_interest();

    socket_poller& poller_;              ///< watches the socket
    std::string address_;                ///< "IPv4:port"
    std::string source_;                 ///< IPv4 address to connect from; empty for any
    message_limits limits_;              ///< size limits of each reply
    client_connection_hooks hooks_;      ///< callbacks to the owner
    unique_fd fd_;                       ///< the socket
    socket_watch watch_;                 ///< must be removed before the socket is closed
    bool connected_ = false;             ///< whether the connection is established
    outgoing_request request_;           ///< the open request
    std::size_t written_ = 0;            ///< bytes of the open request written so far
    int write_error_ = 0;                ///< code of the first error that a write reported; 0 for none
    int interim_replies_ = 0;            ///< 1xx replies read for the open request
    std::optional<reply_parser> parser_; ///< for the reply to the open request; empty if none is open
    bool paused_ = false;                ///< whether the socket is not watched until resume()
    send_state state_ = send_state::not_connected; ///< see state()
};

} // namespace pollengrade
