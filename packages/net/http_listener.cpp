/** @file http_listener.cpp Accepts callers' connections and passes their replies on. */
#include "net/http_listener.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

#include "net/listener_connection.h"
#include "net/place_func.h"
#include "net/socket_func.h"

namespace pollengrade {

namespace {

/** One place in so many is freed at once, so that a crowd does not cost a search for each of its connections.
 */
constexpr std::size_t freed_part = 128;
constexpr int max_accepts_per_turn = 32; ///< further connections wait for the next loop iteration
/** Delay after a failed accept, for example when the process is out of descriptors. */
constexpr duration accept_pause = std::chrono::milliseconds{100};

} // namespace

http_listener::http_listener(socket_poller& poller, timer_queue& timers, caller_memory& memory,
                             metrics& counts, std::size_t max_connections, listener_hooks hooks)
    : poller_{poller}, timers_{timers}, memory_{memory}, counts_{counts},
      max_connections_{max_connections}, hooks_{std::move(hooks)} {}

http_listener::~http_listener() = default;

tl::expected<void, listen_error> http_listener::listen(std::string_view address) {
    listener_ = listen_at(address);
    if (!listener_.is_valid())
        return tl::unexpected{listen_error::address_in_use_or_denied};
    limit_buffers(listener_, caller_buffers);
    accepting_ = true;
    watch_ = poller_.add(listener_, {true, false}, [this](socket_events) { accept(); });
    return {};
}

void http_listener::accept() {
    for (int n = 0; n < max_accepts_per_turn; ++n) {
        const bool is_full = connections_.size() >= max_connections_;
        if (is_full && !is_readable(listener_))
            return;
        if (is_full && !make_place()) {
            pause_accepting();
            return;
        }
        unique_fd fd = accept_from(listener_, slow_keepalive_limits());
        if (!fd.is_valid()) {
            if (would_block())
                return;
            // Out of descriptors, or the caller has disconnected again: retry later, not in every loop
            // iteration.
            make_place();
            pause_accepting();
            return;
        }
        const connection_key key = next_key_++;
        connections_.emplace(key, std::make_unique<connection>(*this, key, std::move(fd)));
    }
}

bool http_listener::make_place() {
    std::vector<place> places;
    places.reserve(connections_.size());
    for (const auto& [key, it] : connections_)
        places.push_back({key, it->use(), it->unchanged_since()});
    const std::size_t count = std::max<std::size_t>(1, max_connections_ / freed_part);
    for (const connection_key key : places_to_free(std::move(places), timers_.now(), count)) {
        const auto it = connections_.find(key);
        if (it == connections_.end())
            continue; // Given up meanwhile, for its memory.
        ++counts_.counter("callers_displaced");
        it->second->displace();
    }
    return connections_.size() < max_connections_;
}

void http_listener::pause_accepting() {
    accepting_ = false;
    watch_.set_interest({});
    timers_.schedule_after(accept_pause, [this] { resume_accepting(); });
}

void http_listener::resume_accepting() {
    if (listener_.is_valid() && !std::exchange(accepting_, true))
        watch_.set_interest({true, false});
}

void http_listener::retire(connection_key key) {
    auto node = connections_.extract(key);
    if (node.empty())
        return;
    if (retired_.empty())
        timers_.schedule_after(duration{0}, [this] { retired_.clear(); });
    retired_.push_back(std::move(node.mapped()));
    resume_accepting();
}

void http_listener::reply(exchange_id id, reply_message message) {
    const auto node = exchanges_.extract(id);
    if (node.empty())
        return;
    const auto it = connections_.find(node.mapped());
    assert(it != connections_.end());
    it->second->reply(std::move(message));
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
