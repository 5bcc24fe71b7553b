/** @file listener_connection.cpp Reads requests from a caller and writes the replies. */
#include "net/listener_connection.h"

#include <array>
#include <cassert>
#include <utility>

#include <sys/socket.h>

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
constexpr unsigned unavailable_status = 503;
constexpr std::string_view no_room_retry_after =
    "1"; ///< seconds until others have been given up, or answered
constexpr std::string_view continue_reply = "HTTP/1.1 100 Continue\r\n\r\n";

reply_message reply_with(unsigned status) {
    reply_message message;
    message.status = status;
    return message;
}

} // namespace

http_listener::connection::connection(http_listener& owner, connection_key key, unique_fd fd)
    : owner_{owner}, key_{key}, fd_{std::move(fd)}, memory_{owner.memory_, [this] { give_up(); }} {
    watch_ = owner_.poller_.add(fd_, {true, false}, [this](socket_events events) { on_events(events); });
    expect_request();
}

place_use http_listener::connection::use() const {
    switch (stage_) {
    case stage::reading:
        if (!is_idle())
            return place_use::receiving;
        return has_asked_ ? place_use::idle : place_use::unused;
    case stage::waiting:
        return place_use::waiting;
    case stage::writing:
        return place_use::sending;
    case stage::lingering:
    case stage::closed:
        break;
    }
    return place_use::ending;
}

void http_listener::connection::displace() {
    if (is_idle() && read())
        return;
    if (use() == place_use::receiving) {
        // Not run, so the promise of this status is true. If it can't be sent at once, it is not sent.
        const encoded_reply reply = encode_reply(reply_with(request_timeout_status), false, true);
        ::send(fd_.get(), reply.head.data(), reply.head.size(), MSG_NOSIGNAL);
    }
    if (stage_ == stage::writing)
        reset_on_close(fd_);
    close();
}

void http_listener::connection::close_if_idle() {
    if (is_idle())
        read();
    if (is_idle())
        close();
}

void http_listener::connection::reply(reply_message message) {
    assert(stage_ == stage::waiting);
    const bool keep_alive = keep_alive_ && owner_.keep_alive_enabled_ && message.keep_alive;
    exchange_ = exchange_id{};
    memory_.clear();
    start_writing(encode_reply(std::move(message), keep_alive, allows_reply_body_), keep_alive);
}

void http_listener::connection::close() {
    if (stage_ == stage::closed)
        return;
    stage_ = stage::closed;
    cancel_timers();
    memory_.clear();
    watch_.reset();
    fd_ = unique_fd{};
    owner_.retire(key_);
}

void http_listener::connection::expect_request() {
    stage_ = stage::reading;
    since_ = owner_.timers_.now();
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

bool http_listener::connection::read() {
    if (!pipelined_bytes_.empty()) {
        process_bytes(std::exchange(pipelined_bytes_, {}));
        return true;
    }
    auto& buf = read_buffer();
    const ssize_t n = ::recv(fd_.get(), buf.data(), buf.size(), 0);
    if (n < 0 && would_block())
        return false;
    if (n <= 0) {
        on_disconnected();
        return false;
    }
    process_bytes({buf.data(), static_cast<std::size_t>(n)});
    return true;
}

void http_listener::connection::process_bytes(std::string_view bytes) {
    const parse_stage before = parser_.stage();
    const auto used = parser_.feed(bytes);
    if (!used) {
        refuse(reply_with(status_of(used.error())));
        return;
    }
    // Bytes of a pipelined request are kept until the current request has been answered.
    pipelined_bytes_.assign(bytes.substr(*used));
    if (parser_.stage() == parse_stage::complete) {
        dispatch_request();
        return;
    }
    watch_.set_interest({true, false});
    if (before == parse_stage::not_started)
        since_ = owner_.timers_.now();
    if (parser_.stage() == parse_stage::header && before == parse_stage::not_started)
        set_timer(header_timeout_);
    if (parser_.stage() == parse_stage::body) {
        if (!std::exchange(receives_bodies_, true))
            enlarge_receive_buffer(fd_, body_buffer_bytes);
        set_timer(idle_timeout_);
        if (parser_.expects_continue() && !std::exchange(continue_sent_, true))
            ::send(fd_.get(), continue_reply.data(), continue_reply.size(), MSG_NOSIGNAL);
    }
    if (!memory_.set(holding_kind::request, parser_.allocated_bytes()))
        refuse_for_room();
    else
        memory_.set_progress(parser_.held_bytes(), parser_.stated_body_bytes().value_or(0));
}

void http_listener::connection::dispatch_request() {
    if (!memory_.set(holding_kind::run, parser_.allocated_bytes() + bytes_ahead())) {
        refuse_for_room();
        return;
    }
    cancel_timer();
    has_asked_ = true;
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

void http_listener::connection::refuse(reply_message message) {
    parser_ = request_parser{{0, 0}};
    pipelined_bytes_ = {};
    memory_.clear();
    allows_reply_body_ = true;
    start_writing(encode_reply(std::move(message), false, true), false);
}

void http_listener::connection::refuse_for_room() {
    // The request was not passed on, so the promise of this status is true.
    reply_message message = reply_with(unavailable_status);
    message.fields.push_back({"Retry-After", std::string{no_room_retry_after}});
    refuse(std::move(message));
}

std::size_t http_listener::connection::bytes_ahead() const {
    if (pipelined_bytes_.empty())
        return 0;
    return pipelined_bytes_.capacity() + caller_buffers.sent + caller_buffers.received;
}

void http_listener::connection::give_up() {
    if (stage_ == stage::reading)
        refuse_for_room();
    else
        abort();
}

void http_listener::connection::abort() {
    reset_on_close(fd_);
    close();
}

void http_listener::connection::start_writing(encoded_reply reply, bool keep_alive) {
    stage_ = stage::writing;
    since_ = owner_.timers_.now();
    keep_alive_ = keep_alive;
    output_ = std::move(reply);
    written_ = 0;
    set_timer(write_timeout);
    write();
    if (stage_ != stage::writing)
        return;
    watch_.set_interest({false, true});
    // The kernel takes no more, so its buffer is full.
    const std::size_t in_kernel = pipelined_bytes_.empty() ? caller_buffers.sent : 0; // or counted as ahead
    const std::size_t held = output_.head.capacity() + output_.body.capacity() + in_kernel + bytes_ahead();
    if (!memory_.set(holding_kind::reply, held))
        abort();
    else
        memory_.set_progress(written_, output_.head.size() + output_.body.size());
}

void http_listener::connection::write() {
    const std::size_t total = output_.head.size() + output_.body.size();
    while (written_ < total) {
        const ssize_t n = send_pieces(fd_, output_.head, output_.body, written_);
        if (n < 0 && would_block())
            return;
        if (n < 0) {
            close();
            return;
        }
        written_ += static_cast<std::size_t>(n);
        memory_.set_progress(written_, total);
    }
    output_ = {};
    memory_.clear();
    if (!keep_alive_) {
        linger();
        return;
    }
    expect_request();
    if (pipelined_bytes_.empty())
        watch_.set_interest({true, false});
    else if (memory_.set(holding_kind::request, bytes_ahead()))
        schedule_pipelined();
    else
        refuse_for_room();
}

void http_listener::connection::schedule_pipelined() {
    watch_.set_interest({});
    if (next_request_)
        return;
    next_request_ = owner_.timers_.schedule_after(duration{0}, [this] {
        next_request_.reset();
        if (stage_ == stage::reading)
            read();
    });
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
        refuse(reply_with(request_timeout_status));
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

void http_listener::connection::cancel_timers() {
    cancel_timer();
    if (next_request_)
        owner_.timers_.cancel(*std::exchange(next_request_, std::nullopt));
}

} // namespace pollengrade
