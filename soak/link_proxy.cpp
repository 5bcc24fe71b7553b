/** @file link_proxy.cpp Proxied connections: two sockets each, and the data buffered between them. */
#include "link_proxy.h"

#include <array>
#include <deque>
#include <utility>

#include <sys/socket.h>

#include "net/socket_func.h"

namespace pollengrade {

namespace {

constexpr std::size_t chunk_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_buffered_bytes =
    std::size_t{1024} *
    1024; ///< per direction; at the limit reading stops, so that the sender is slowed by TCP flow control

} // namespace

/** One proxied connection. */
class link_proxy::pipe {
public:
    pipe(link_proxy& owner, std::uint64_t key, unique_fd client, unique_fd server)
        : owner_{owner}, key_{key} {
        endpoints_[0].fd = std::move(client);
        endpoints_[1].fd = std::move(server);
        for (std::size_t n = 0; n < endpoints_.size(); ++n)
            endpoints_[n].watch = owner_.poller_.add(
                endpoints_[n].fd, {}, [this, n](socket_events events) { on_events(n, events); });
        update();
    }

    void reset() {
        for (endpoint& it : endpoints_) {
            reset_on_close(it.fd);
            it.watch.reset();
        }
        owner_.retire(key_);
    }
    void stall() { stalled_ = true; }

    /** Writes the data that is due and updates the watched events; also called when the mode of the link
     * changes. */
    void update() {
        if (stalled_)
            return;
        for (std::size_t n = 0; n < endpoints_.size(); ++n) {
            if (!flush(n))
                return;
        }
        for (std::size_t n = 0; n < endpoints_.size(); ++n) {
            const endpoint& other = endpoints_[1 - n];
            if (!endpoints_[n].ended)
                endpoints_[n].watch.set_interest({other.buffered_bytes < max_buffered_bytes,
                                                  !endpoints_[n].chunks.empty() && is_front_due(n)});
        }
    }

private:
    struct chunk {
        time_point due;
        std::string bytes;
    };
    /** One socket and the data to be written to it. */
    struct endpoint {
        unique_fd fd;
        std::deque<chunk> chunks;
        std::size_t buffered_bytes = 0;
        bool ended = false; ///< the peer has closed its sending side; the socket is no longer watched
        socket_watch watch;
    };

    [[nodiscard]] bool is_front_due(std::size_t to) const {
        return !owner_.is_blocked(to == 0) && endpoints_[to].chunks.front().due <= owner_.timers_.now();
    }

    void on_events(std::size_t n, socket_events events) {
        if (stalled_) {
            endpoints_[n].watch.reset(); // The closed socket would be reported in every loop iteration.
            return;
        }
        if (events.failed) {
            reset();
            return;
        }
        if (events.readable && !read(n))
            return;
        update();
    }

    bool read(std::size_t from) {
        endpoint& it = endpoints_[from];
        endpoint& other = endpoints_[1 - from];
        std::array<char, chunk_bytes> buf{};
        const auto n = ::recv(it.fd.get(), buf.data(), buf.size(), 0);
        if (n < 0 && would_block())
            return true;
        if (n < 0) {
            reset();
            return false;
        }
        if (n == 0) {
            it.ended = true;
            it.watch.reset();
            return true;
        }
        const time_point due = owner_.timers_.now() + owner_.delay_;
        other.chunks.push_back({due, std::string{buf.data(), static_cast<std::size_t>(n)}});
        other.buffered_bytes += static_cast<std::size_t>(n);
        if (owner_.delay_.count() > 0)
            owner_.timers_.schedule_at(due, [owner = &owner_, key = key_] {
                if (const auto found = owner->pipes_.find(key); found != owner->pipes_.end())
                    found->second->update();
            });
        return true;
    }

    /** Writes the data that is due to one socket. @return false if the connection has ended */
    bool flush(std::size_t to) {
        endpoint& it = endpoints_[to];
        while (!it.chunks.empty() && is_front_due(to)) {
            std::string& bytes = it.chunks.front().bytes;
            const auto n = ::send(it.fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n < 0 && would_block())
                return true;
            if (n < 0) {
                reset();
                return false;
            }
            it.buffered_bytes -= static_cast<std::size_t>(n);
            bytes.erase(0, static_cast<std::size_t>(n));
            if (bytes.empty())
                it.chunks.pop_front();
        }
        if (it.chunks.empty() && endpoints_[1 - to].ended && !owner_.is_blocked(to == 0)) {
            for (endpoint& one : endpoints_)
                one.watch.reset();
            owner_.retire(key_);
            return false;
        }
        return true;
    }

    link_proxy& owner_;
    std::uint64_t key_;
    std::array<endpoint, 2> endpoints_; ///< the client, then the server
    bool stalled_ = false;
};

link_proxy::link_proxy(socket_poller& poller, timer_queue& timers, std::string from, std::string to)
    : poller_{poller}, timers_{timers}, from_{std::move(from)}, to_{std::move(to)} {}

link_proxy::~link_proxy() = default;

bool link_proxy::start() {
    listener_ = listen_at(from_);
    if (!listener_.is_valid())
        return false;
    watch_ = poller_.add(listener_, {true, false}, [this](socket_events) { accept(); });
    return true;
}

void link_proxy::accept() {
    unique_fd client = accept_from(listener_, slow_keepalive_limits());
    if (!client.is_valid())
        return;
    // The other side sees who connects, as it would without the proxy.
    unique_fd server = start_connect(to_, slow_keepalive_limits(), peer_of(client));
    if (!server.is_valid()) {
        reset_on_close(client);
        return;
    }
    const std::uint64_t key = next_++;
    pipes_.emplace(key, std::make_unique<pipe>(*this, key, std::move(client), std::move(server)));
}

bool link_proxy::is_blocked(bool to_client) const {
    return mode_ == link_mode::cut || (mode_ == link_mode::one_way && to_client);
}

void link_proxy::retire(std::uint64_t key) {
    auto node = pipes_.extract(key);
    if (node.empty())
        return;
    if (retired_.empty())
        timers_.schedule_after(duration{0}, [this] { retired_.clear(); });
    retired_.push_back(std::move(node.mapped()));
}

void link_proxy::set_mode(link_mode mode, duration delay) {
    mode_ = mode;
    delay_ = mode == link_mode::delayed ? delay : duration{0};
    std::vector<std::uint64_t> keys;
    for (const auto& [key, it] : pipes_)
        keys.push_back(key);
    for (const std::uint64_t key : keys) {
        if (const auto found = pipes_.find(key); found != pipes_.end())
            found->second->update();
    }
}

void link_proxy::reset_all() {
    while (!pipes_.empty())
        pipes_.begin()->second->reset();
}

void link_proxy::stall_open() {
    for (const auto& [key, it] : pipes_)
        it->stall();
}

} // namespace pollengrade
