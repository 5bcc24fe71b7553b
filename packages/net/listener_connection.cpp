/** @file listener_connection.cpp Reads requests from a caller and writes the replies. */
#include "net/listener_connection.h"

#include <array>
#include <cassert>
#include <utility>

#include <sys/socket.h>

#include "net/message_writer.h"
#include "net/round_trip_func.h"
#include "net/socket_func.h"

namespace pollengrade {

namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024; ///< shared by all connections
constexpr duration write_timeout = std::chrono::seconds{10};      ///< for callers that don't read their reply
constexpr duration linger_time = std::chrono::seconds{1}; ///< for reading the last reply, see linger()

std::array<char, read_buffer_bytes>& read_buffer() {
    static std::array<char, read_buffer_bytes> buf;
    return buf;
}

unsigned status_of(parse_error it) {
    constexpr unsigned bad_request = 400;
    constexpr unsigned body_too_large = 413;
    constexpr unsigned header_too_large = 431;
    switch (it) {
    case parse_error::body_too_large:
        return body_too_large;
    case parse_error::header_too_large:
        return header_too_large;
    case parse_error::malformed:
    case parse_error::truncated:
        break;
    }
    return bad_request;
}

constexpr unsigned request_timeout_status = 408; ///< the request wasn't read completely and therefore not run
constexpr std::string_view continue_reply = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

http_listener::connection::connection(http_listener& owner, connection_key key, unique_fd fd)
    : owner_{owner}, key_{key}, fd_{std::move(fd)} {
    watch_ = owner_.poller_.add(fd_, {true, false}, [this](socket_events events) { on_events(events); });
    expect_request();
}

void http_listener::connection::close_if_idle() {
    if (is_idle())
        read();
    if (is_idle())
        close();
}

void http_listener::connection::reply(const reply_message& message) {
    assert(stage_ == stage::waiting);
    const bool keep_alive = keep_alive_ && owner_.keep_alive_enabled_ && message.keep_alive;
    exchange_ = exchange_id{};
    start_writing(encode_reply(message, keep_alive, allows_reply_body_), keep_alive);
}

void http_listener::connection::close() {
    if (stage_ == stage::closed)
        return;
    stage_ = stage::closed;
    cancel_timer();
    watch_.reset();
    fd_ = unique_fd{};
    owner_.retire(key_);
}

void http_listener::connection::expect_request() {
    stage_ = stage::reading;
    const caller_limits limits = owner_.hooks_.limits();
    parser_ = request_parser{limits.message};
    header_timeout_ = limits.header_timeout;
    idle_timeout_ = limits.idle_timeout;
    continue_sent_ = false;
    set_timer(idle_timeout_);
}

void http_listener::connection::on_events(socket_events events) {
    if (events.failed) {
        on_disconnected();
        return;
    }
    if (events.writable && stage_ == stage::writing)
        write();
    if (stage_ == stage::reading && (events.readable || events.peer_closed))
        read();
    else if (stage_ == stage::lingering && (events.readable || events.peer_closed))
        discard_input();
    else if (events.peer_closed && stage_ != stage::closed)
        on_disconnected();
}

void http_listener::connection::read() {
    auto& buf = read_buffer();
    const ssize_t n = ::recv(fd_.get(), buf.data(), buf.size(), 0);
    if (n < 0 && would_block())
        return;
    if (n <= 0) {
        on_disconnected();
        return;
    }
    process_bytes({buf.data(), static_cast<std::size_t>(n)});
}

void http_listener::connection::process_bytes(std::string_view bytes) {
    const parse_stage before = parser_.stage();
    const auto used = parser_.feed(bytes);
    if (!used) {
        refuse(status_of(used.error()));
        return;
    }
    // Bytes of a pipelined request are kept until the current request has been answered.
    pipelined_bytes_.assign(bytes.substr(*used));
    if (parser_.stage() == parse_stage::complete) {
        dispatch_request();
        return;
    }
    if (parser_.stage() == parse_stage::header && before == parse_stage::not_started)
        set_timer(header_timeout_);
    if (parser_.stage() == parse_stage::body) {
        set_timer(idle_timeout_);
        if (parser_.expects_continue() && !std::exchange(continue_sent_, true))
            ::send(fd_.get(), continue_reply.data(), continue_reply.size(), MSG_NOSIGNAL);
    }
}

void http_listener::connection::dispatch_request() {
    cancel_timer();
    stage_ = stage::waiting;
    request_message message = parser_.take();
    message.round_trip = round_trip_of(fd_);
    keep_alive_ = message.keep_alive;
    allows_reply_body_ = message.method != "HEAD";
    // Nothing more is read until the reply has been written; a disconnect is still reported.
    watch_.set_interest({});
    exchange_ = exchange_id{owner_.next_exchange_++};
    owner_.exchanges_[exchange_] = key_;
    owner_.hooks_.requested(exchange_, std::move(message));
}

void http_listener::connection::refuse(unsigned status) {
    reply_message message;
    message.status = status;
    allows_reply_body_ = true;
    start_writing(encode_reply(message, false, true), false);
}

void http_listener::connection::start_writing(std::string bytes, bool keep_alive) {
    stage_ = stage::writing;
    keep_alive_ = keep_alive;
    output_ = std::move(bytes);
    written_ = 0;
    set_timer(write_timeout);
    write();
    if (stage_ == stage::writing)
        watch_.set_interest({false, true});
}

void http_listener::connection::write() {
    while (written_ < output_.size()) {
        const ssize_t n =
            ::send(fd_.get(), output_.data() + written_, output_.size() - written_, MSG_NOSIGNAL);
        if (n < 0 && would_block())
            return;
        if (n < 0) {
            close();
            return;
        }
        written_ += static_cast<std::size_t>(n);
    }
    output_ = {};
    if (!keep_alive_) {
        linger();
        return;
    }
    expect_request();
    watch_.set_interest({true, false});
    if (!pipelined_bytes_.empty())
        process_bytes(std::exchange(pipelined_bytes_, {}));
}

void http_listener::connection::linger() {
    stage_ = stage::lingering;
    ::shutdown(fd_.get(), SHUT_WR);
    watch_.set_interest({true, false});
    set_timer(linger_time);
    discard_input();
}

void http_listener::connection::discard_input() {
    auto& buf = read_buffer();
    const ssize_t n = ::recv(fd_.get(), buf.data(), buf.size(), 0);
    if (n == 0 || (n < 0 && !would_block()))
        close();
}

void http_listener::connection::on_disconnected() {
    if (stage_ == stage::waiting) {
        const exchange_id id = std::exchange(exchange_, exchange_id{});
        owner_.exchanges_.erase(id);
        close();
        owner_.hooks_.disconnected(id);
        return;
    }
    close();
}

void http_listener::connection::on_timeout() {
    timer_.reset();
    const bool has_begun_request = stage_ == stage::reading && parser_.stage() != parse_stage::not_started;
    if (has_begun_request)
        refuse(request_timeout_status);
    else
        close();
}

void http_listener::connection::set_timer(duration delay) {
    cancel_timer();
    timer_ = owner_.timers_.schedule_after(delay, [this] { on_timeout(); });
}

void http_listener::connection::cancel_timer() {
    if (timer_)
        owner_.timers_.cancel(*std::exchange(timer_, std::nullopt));
}

} // namespace pollengrade
