/** @file http_listener.cpp One connection's states, and the connections together. */
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
#include "net/socket_func.h"

namespace pollengrade {

namespace {

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024; ///< for one read, shared by all connections
constexpr int max_accepts_per_turn = 32;                          ///< the rest waits for the loop's next turn
constexpr duration write_timeout = std::chrono::seconds{10}; ///< for a caller that does not read its reply
constexpr duration linger_time = std::chrono::seconds{1};    ///< for the last reply to be read, see linger()
constexpr duration accept_pause = std::chrono::milliseconds{100}; ///< when the process is out of descriptors

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

constexpr unsigned request_timeout_status = 408; ///< not run, since it was never read in full
constexpr std::string_view go_ahead = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

/** A caller's connection: reads a request, waits for its reply, writes it, and so on. */
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
        return stage_ == stage::reading && parser_.stage() == parse_stage::nothing;
    }

    void reply(const reply_message& message) {
        assert(stage_ == stage::waiting);
        const bool keeps = keeps_ && owner_.keeping_ && message.keep_alive;
        exchange_ = exchange_id{};
        start_writing(encode_reply(message, keeps, brings_body_), keeps);
    }

    /** Ends the connection; it is destroyed at the loop's next turn. */
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
        reading,   ///< a request
        waiting,   ///< for the owner's reply
        writing,   ///< the reply
        lingering, ///< the reply is out; what the caller still sends is thrown away
        closed,    ///< over
    };

    void expect_request() {
        stage_ = stage::reading;
        const caller_limits limits = owner_.hooks_.limits();
        parser_ = request_parser{limits.message};
        header_timeout_ = limits.header_timeout;
        idle_timeout_ = limits.idle_timeout;
        told_to_continue_ = false;
        set_timer(idle_timeout_);
    }

    void on_events(socket_events events) {
        if (events.failed) {
            caller_left();
            return;
        }
        if (events.writable && stage_ == stage::writing)
            write();
        if (stage_ == stage::reading && (events.readable || events.peer_closed))
            read();
        else if (stage_ == stage::lingering && (events.readable || events.peer_closed))
            drain();
        else if (events.peer_closed && stage_ != stage::closed)
            caller_left();
    }

    void read() {
        auto& buf = read_buffer();
        const ssize_t n = ::recv(fd_.get(), buf.data(), buf.size(), 0);
        if (n < 0 && would_block())
            return;
        if (n <= 0) {
            caller_left();
            return;
        }
        take_bytes({buf.data(), static_cast<std::size_t>(n)});
    }

    void take_bytes(std::string_view bytes) {
        const parse_stage before = parser_.stage();
        const auto used = parser_.feed(bytes);
        if (!used) {
            refuse(status_of(used.error()));
            return;
        }
        // Bytes of a following request wait until this one is answered.
        early_.assign(bytes.substr(*used));
        if (parser_.stage() == parse_stage::whole) {
            hand_over();
            return;
        }
        if (parser_.stage() == parse_stage::header && before == parse_stage::nothing)
            set_timer(header_timeout_);
        if (parser_.stage() == parse_stage::body) {
            set_timer(idle_timeout_);
            if (parser_.expects_continue() && !std::exchange(told_to_continue_, true))
                ::send(fd_.get(), go_ahead.data(), go_ahead.size(), MSG_NOSIGNAL);
        }
    }

    void hand_over() {
        cancel_timer();
        stage_ = stage::waiting;
        request_message message = parser_.take();
        keeps_ = message.keep_alive;
        brings_body_ = message.method != "HEAD";
        // Nothing more is read until the reply is out; the caller's leaving still shows.
        watch_.set_interest({});
        exchange_ = exchange_id{owner_.next_exchange_++};
        owner_.exchanges_[exchange_] = key_;
        owner_.hooks_.requested(exchange_, std::move(message));
    }

    void refuse(unsigned status) {
        reply_message message;
        message.status = status;
        brings_body_ = true;
        start_writing(encode_reply(message, false, true), false);
    }

    void start_writing(std::string bytes, bool keeps) {
        stage_ = stage::writing;
        keeps_ = keeps;
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
        if (!keeps_) {
            linger();
            return;
        }
        expect_request();
        watch_.set_interest({true, false});
        if (!early_.empty())
            take_bytes(std::exchange(early_, {}));
    }

    /** Ends the connection so that the reply arrives: closing with unread bytes would reset it. */
    void linger() {
        stage_ = stage::lingering;
        ::shutdown(fd_.get(), SHUT_WR);
        watch_.set_interest({true, false});
        set_timer(linger_time);
        drain();
    }

    void drain() {
        auto& buf = read_buffer();
        const ssize_t n = ::recv(fd_.get(), buf.data(), buf.size(), 0);
        if (n == 0 || (n < 0 && !would_block()))
            close();
    }

    void caller_left() {
        if (stage_ == stage::waiting) {
            const exchange_id id = std::exchange(exchange_, exchange_id{});
            owner_.exchanges_.erase(id);
            close();
            owner_.hooks_.gone(id);
            return;
        }
        close();
    }

    void on_timeout() {
        timer_.reset();
        const bool is_started = stage_ == stage::reading && parser_.stage() != parse_stage::nothing;
        if (is_started)
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

    http_listener& owner_;          ///< all connections
    connection_key key_;            ///< its name among them
    unique_fd fd_;                  ///< the socket
    socket_watch watch_;            ///< ends before the socket does
    stage stage_ = stage::reading;  ///< what goes on
    request_parser parser_{{0, 0}}; ///< of the request being read
    std::string early_;             ///< bytes read beyond the request
    exchange_id exchange_;          ///< the request that waits for its reply
    bool keeps_ = true;             ///< whether the connection outlives the reply
    bool brings_body_ = true;       ///< whether the reply may have a body
    bool told_to_continue_ = false; ///< whether the go-ahead has been sent
    std::string output_;            ///< the reply's bytes
    std::size_t written_ = 0;       ///< of them
    duration header_timeout_{};     ///< in force for this request
    duration idle_timeout_{};       ///< in force for this request
    std::optional<timer_id> timer_; ///< ends what takes too long
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
        unique_fd fd = accept_from(listener_, patient_silence_limits());
        if (!fd.is_valid()) {
            if (would_block())
                return;
            // Out of descriptors, or a caller gone again: try later, not at every turn of the loop.
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
        it->close();
}

std::size_t http_listener::open_exchanges() const {
    std::size_t count = 0;
    for (const auto& [key, it] : connections_)
        count += it->is_idle() ? 0 : 1;
    return count;
}

} // namespace pollengrade
