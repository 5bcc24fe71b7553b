/** @file http_listener.cpp A caller's connection, and the listener that owns all connections. */
#include "net/http_listener.h"

#include <array>
#include <cassert>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <sys/socket.h>
#include <sys/uio.h>

#include "net/message_writer.h"
#include "net/round_trip_func.h"
#include "net/socket_func.h"

namespace pollengrade {

namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024; ///< shared by all connections
constexpr int max_accepts_per_turn = 32; ///< further connections wait for the next loop iteration
constexpr duration write_timeout = std::chrono::seconds{10}; ///< for callers that don't read their reply
constexpr duration linger_time = std::chrono::seconds{1};    ///< for reading the last reply, see linger()
/** Delay after a failed accept, for example when the process is out of descriptors. */
constexpr duration accept_pause = std::chrono::milliseconds{100};

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

/** A caller's connection: repeatedly reads a request, waits for the owner's reply and writes it. */
class http_listener::connection {
public:
    connection(http_listener& owner, connection_key key, unique_fd fd)
        : owner_{owner}, key_{key}, fd_{std::move(fd)} {
        watch_ = owner_.poller_.add(fd_, {true, false}, [this](socket_events events) { on_events(events); });
        expect_request();
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;
    ~connection() { cancel_timer(); }

    [[nodiscard]] bool is_idle() const {
        return stage_ == stage::reading && parser_.stage() == parse_stage::not_started;
    }

    /** Closes the connection unless a request has begun, also one that wasn't read so far. */
    void close_if_idle() {
        if (is_idle())
            read();
        if (is_idle())
            close();
    }

    void reply(const reply_message& message) {
        assert(stage_ == stage::waiting);
        const bool keep_alive = keep_alive_ && owner_.keep_alive_enabled_ && message.keep_alive;
        exchange_ = exchange_id{};
        start_writing(encode_reply(message, keep_alive, allows_reply_body_), keep_alive);
    }

    /** Closes the connection; the object is destroyed in the next loop iteration. */
    void close() {
        if (stage_ == stage::closed)
            return;
        stage_ = stage::closed;
        cancel_timer();
        watch_.reset();
        fd_ = unique_fd{};
        owner_.retire(key_);
    }

private:
    enum class stage : std::uint8_t {
        reading,   ///< reading a request
        waiting,   ///< waiting for the owner's reply
        writing,   ///< writing the reply
        lingering, ///< the reply has been written; further input is discarded
        closed,    ///< the connection has ended
    };

    void expect_request() {
        stage_ = stage::reading;
        const caller_limits limits = owner_.hooks_.limits();
        parser_ = request_parser{limits.message};
        header_timeout_ = limits.header_timeout;
        idle_timeout_ = limits.idle_timeout;
        continue_sent_ = false;
        set_timer(idle_timeout_);
    }

    void on_events(socket_events events) {
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

    void read() {
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

    void process_bytes(std::string_view bytes) {
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

    void dispatch_request() {
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

    void refuse(unsigned status) {
        reply_message message;
        message.status = status;
        allows_reply_body_ = true;
        start_writing(encode_reply(message, false, true), false);
    }

    void start_writing(std::string bytes, bool keep_alive) {
        stage_ = stage::writing;
        keep_alive_ = keep_alive;
        output_ = std::move(bytes);
        written_ = 0;
        set_timer(write_timeout);
        write();
        if (stage_ == stage::writing)
            watch_.set_interest({false, true});
    }

    void write() {
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

    /** Closes the connection gracefully: closing it with unread bytes would reset it, and the reply could be
     * lost. */
    void linger() {
        stage_ = stage::lingering;
        ::shutdown(fd_.get(), SHUT_WR);
        watch_.set_interest({true, false});
        set_timer(linger_time);
        discard_input();
    }

    void discard_input() {
        auto& buf = read_buffer();
        const ssize_t n = ::recv(fd_.get(), buf.data(), buf.size(), 0);
        if (n == 0 || (n < 0 && !would_block()))
            close();
    }

    void on_disconnected() {
        if (stage_ == stage::waiting) {
            const exchange_id id = std::exchange(exchange_, exchange_id{});
            owner_.exchanges_.erase(id);
            close();
            owner_.hooks_.disconnected(id);
            return;
        }
        close();
    }

    void on_timeout() {
        timer_.reset();
        const bool has_begun_request =
            stage_ == stage::reading && parser_.stage() != parse_stage::not_started;
        if (has_begun_request)
            refuse(request_timeout_status);
        else
            close();
    }

    void set_timer(duration delay) {
        cancel_timer();
        timer_ = owner_.timers_.schedule_after(delay, [this] { on_timeout(); });
    }

    void cancel_timer() {
        if (timer_)
            owner_.timers_.cancel(*std::exchange(timer_, std::nullopt));
    }

    http_listener& owner_;          ///< the listener that owns the connection
    connection_key key_;            ///< its key in the listener
    unique_fd fd_;                  ///< the socket
    socket_watch watch_;            ///< must be removed before the socket is closed
    stage stage_ = stage::reading;  ///< the current stage
    request_parser parser_{{0, 0}}; ///< for the request being read
    std::string pipelined_bytes_;   ///< bytes read after the end of the request
    exchange_id exchange_;          ///< the request that waits for its reply
    bool keep_alive_ = true;        ///< whether the connection stays open after the reply
    bool allows_reply_body_ = true; ///< whether the reply may have a body
    bool continue_sent_ = false;    ///< whether "100 Continue" has been sent
    std::string output_;            ///< the reply's bytes
    std::size_t written_ = 0;       ///< bytes of the reply written so far
    duration header_timeout_{};     ///< in force for this request
    duration idle_timeout_{};       ///< in force for this request
    std::optional<timer_id> timer_; ///< the timeout of the current stage
};

http_listener::http_listener(socket_poller& poller, timer_queue& timers, std::size_t max_connections,
                             listener_hooks hooks)
    : poller_{poller}, timers_{timers}, max_connections_{max_connections}, hooks_{std::move(hooks)} {}

http_listener::~http_listener() = default;

tl::expected<void, listen_error> http_listener::listen(std::string_view address) {
    listener_ = listen_at(address);
    if (!listener_.is_valid())
        return tl::unexpected{listen_error::address_in_use_or_denied};
    accepting_ = true;
    watch_ = poller_.add(listener_, {true, false}, [this](socket_events) { accept(); });
    return {};
}

void http_listener::accept() {
    for (int n = 0; n < max_accepts_per_turn && connections_.size() < max_connections_; ++n) {
        unique_fd fd = accept_from(listener_, slow_keepalive_limits());
        if (!fd.is_valid()) {
            if (would_block())
                return;
            // Out of descriptors, or the caller has disconnected again: retry later, not in every loop
            // iteration.
            accepting_ = false;
            watch_.set_interest({});
            timers_.schedule_after(accept_pause, [this] { update_accepting(); });
            return;
        }
        const connection_key key = next_key_++;
        connections_.emplace(key, std::make_unique<connection>(*this, key, std::move(fd)));
    }
    update_accepting();
}

void http_listener::update_accepting() {
    if (!listener_.is_valid())
        return;
    const bool wanted = connections_.size() < max_connections_;
    if (std::exchange(accepting_, wanted) != wanted)
        watch_.set_interest({wanted, false});
}

void http_listener::retire(connection_key key) {
    auto node = connections_.extract(key);
    if (node.empty())
        return;
    if (retired_.empty())
        timers_.schedule_after(duration{0}, [this] { retired_.clear(); });
    retired_.push_back(std::move(node.mapped()));
    update_accepting();
}

void http_listener::reply(exchange_id id, const reply_message& message) {
    const auto node = exchanges_.extract(id);
    if (node.empty())
        return;
    const auto it = connections_.find(node.mapped());
    assert(it != connections_.end());
    it->second->reply(message);
}

void http_listener::close_idle() {
    std::vector<connection*> idle;
    for (const auto& [key, it] : connections_) {
        if (it->is_idle())
            idle.push_back(it.get());
    }
    for (connection* it : idle)
        it->close_if_idle();
}

void http_listener::stop_accepting() {
    if (!listener_.is_valid())
        return;
    accept();
    watch_.reset();
    listener_ = unique_fd{};
}

std::size_t http_listener::open_exchanges() const {
    std::size_t count = 0;
    for (const auto& [key, it] : connections_)
        count += it->is_idle() ? 0 : 1;
    return count;
}

} // namespace pollengrade
