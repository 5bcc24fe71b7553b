/** @file listener_connection.h A caller's connection. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/http_listener.h"
#include "net/message_writer.h"
#include "net/place_func.h"
#include "net/socket_func.h"
#include "net/unique_fd.h"

namespace pollengrade {

/**
 * Of each connection. What a caller does not read stays in the kernel, as does what it sends before its last
 * reply is written. Heads are short and need no large buffer; for a body the buffer grows.
 */
inline constexpr buffer_sizes caller_buffers{16 * 1024, 4 * 1024};
inline constexpr int body_buffer_bytes = 16 * 1024; ///< once a body is being received

/** A caller's connection: repeatedly reads a request, waits for the owner's reply and writes it. */
class http_listener::connection {
public:
    connection(http_listener& owner, connection_key key, unique_fd fd);
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;
    ~connection() { cancel_timers(); }

    [[nodiscard]] bool is_idle() const {
        return stage_ == stage::reading && parser_.stage() == parse_stage::not_started &&
               pipelined_bytes_.empty();
    }
    /** @return what the connection is used for. */
    [[nodiscard]] place_use use() const;
    /** @return since when use() is what it is. */
    [[nodiscard]] time_point unchanged_since() const noexcept { return since_; }
    /** Closes the connection to make place for another; one that has just become busy is kept. */
    void displace();
    /** Closes the connection unless a request has begun, also one that wasn't read so far. */
    void close_if_idle();
    /** Writes the reply to the request that has been passed to the owner. */
    void reply(reply_message message);
    /** Closes the connection; the object is destroyed in the next loop iteration. */
    void close();

private:
    enum class stage : std::uint8_t {
        reading,   ///< reading a request
        waiting,   ///< waiting for the owner's reply
        writing,   ///< writing the reply
        lingering, ///< the reply has been written; further input is discarded
        closed,    ///< the connection has ended
    };

    void expect_request();
    void on_events(socket_events events);
    /** @return whether any bytes were read. */
    bool read();
    void process_bytes(std::string_view bytes);
    void dispatch_request();
    /** Refuses the request that is being read, and closes the connection after the reply. */
    void refuse(reply_message message);
    void refuse_for_room();
    /**
     * @return what a caller that sends requests before its last reply is written takes: the bytes read so far
     * and what the kernel may hold in both directions, as it may read as little as it waits; 0 for others
     */
    [[nodiscard]] std::size_t bytes_ahead() const;
    /** Releases what the connection holds because others need the room. */
    void give_up();
    /** Closes the connection and discards what has not been sent. */
    void abort();
    void start_writing(encoded_reply reply, bool keep_alive);
    void write();
    /** Reads the next pipelined request in the next turn of the main loop, after other callers' requests. */
    void schedule_pipelined();
    /** Closes the connection gracefully: closing it with unread bytes would reset it, and the reply could be
     * lost. */
    void linger();
    void discard_input();
    void on_disconnected();
    void on_timeout();
    void set_timer(duration delay);
    void cancel_timer();
    void cancel_timers();

    http_listener& owner_;                 ///< the listener that owns the connection
    connection_key key_;                   ///< its key in the listener
    unique_fd fd_;                         ///< the socket
    socket_watch watch_;                   ///< must be removed before the socket is closed
    stage stage_ = stage::reading;         ///< the current stage
    request_parser parser_{{0, 0}};        ///< for the request being read
    std::string pipelined_bytes_;          ///< bytes read after the end of the request
    bool has_asked_ = false;               ///< whether a request has been read
    time_point since_{};                   ///< see unchanged_since()
    std::optional<timer_id> next_request_; ///< reads the next pipelined request
    exchange_id exchange_;                 ///< the request that waits for its reply
    bool keep_alive_ = true;               ///< whether the connection stays open after the reply
    bool allows_reply_body_ = true;        ///< whether the reply may have a body
    bool receives_bodies_ = false;         ///< whether the kernel's buffer is that for bodies
    bool continue_sent_ = false;           ///< whether "100 Continue" has been sent
    encoded_reply output_;                 ///< the reply's bytes
    std::size_t written_ = 0;              ///< bytes of the reply written so far
    duration header_timeout_{};            ///< in force for this request
    duration idle_timeout_{};              ///< in force for this request
    std::optional<timer_id> timer_;        ///< the timeout of the current stage
    memory_holding memory_;                ///< the bytes of all members above that hold any
};

} // namespace pollengrade
