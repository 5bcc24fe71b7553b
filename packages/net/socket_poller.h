/** @file socket_poller.h Reports the readiness of many sockets through one event source of the GLib main
 * loop. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include <glib.h>

#include "net/unique_fd.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** Events to wait for on a socket. Errors and the end of the peer's side are always reported. */
struct socket_interest {
    bool readable = false; ///< bytes to read, or a connection to accept
    bool writable = false; ///< room for output, or the end of a connection attempt

    friend bool operator==(const socket_interest&, const socket_interest&) = default;
};

/** Events reported for a socket. */
struct socket_events {
    bool readable = false;    ///< bytes to read, or the peer has closed its side
    bool writable = false;    ///< room for output
    bool peer_closed = false; ///< the peer has closed its side
    bool failed = false;      ///< the connection has failed
};

class socket_poller;

/** A socket's registration, removed when this object is destroyed. */
class socket_watch {
public:
    using handler = std::function<void(socket_events)>;

    socket_watch() = default;
    socket_watch(socket_watch&& other) noexcept;
    socket_watch& operator=(socket_watch&& other) noexcept;
    socket_watch(const socket_watch&) = delete;
    socket_watch& operator=(const socket_watch&) = delete;
    ~socket_watch() { reset(); }

    /** Removes the registration. */
    void reset();
    /** Changes the events to wait for. */
    void set_interest(socket_interest interest);

private:
    friend class socket_poller;
    socket_watch(socket_poller& owner, int fd, std::size_t slot, socket_interest interest)
        : owner_{&owner}, fd_{fd}, slot_{slot}, interest_{interest} {}

    socket_poller* owner_ = nullptr; ///< null if not registered
    int fd_ = -1;                    ///< the socket
    std::size_t slot_ = 0;           ///< index of its slot in the poller
    socket_interest interest_;       ///< events to wait for
};

/**
 * Waits on many sockets with an epoll set that is a single event source of the main loop, so the cost of a
 * loop iteration depends on the number of ready sockets, not on that of open ones. Must outlive its watches.
 */
class socket_poller {
public:
    /** @param clock read once before each batch of handlers; runs the timers that are due after it */
    explicit socket_poller(loop_clock& clock);
    socket_poller(const socket_poller&) = delete;
    socket_poller& operator=(const socket_poller&) = delete;
    socket_poller(socket_poller&&) = delete;
    socket_poller& operator=(socket_poller&&) = delete;
    ~socket_poller();

    /** Registers a socket. @param run called from the loop; may remove its own watch */
    [[nodiscard]] socket_watch add(const unique_fd& fd, socket_interest interest, socket_watch::handler run);

private:
    friend class socket_watch;
    struct slot {
        std::uint32_t generation = 0; ///< distinguishes events of an earlier socket in this slot
        std::shared_ptr<socket_watch::handler> run; ///< null for a free slot
    };

    void remove(int fd, std::size_t index);
    void change(int fd, std::size_t index, socket_interest interest);
    [[nodiscard]] std::uint64_t key_of(std::size_t index) const;
    void dispatch();

    loop_clock& clock_;             ///< the process's clock
    unique_fd epoll_;               ///< the epoll set
    GSource* source_;               ///< event source of the epoll set
    std::vector<slot> slots_;       ///< indexed by the lower bits of an event's key
    std::vector<std::size_t> free_; ///< indices of free slots
};

} // namespace pollengrade
