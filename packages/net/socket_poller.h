/** @file socket_poller.h Readiness of many sockets as one source of the GLib main loop. */
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

/** What a socket is waited on for, besides the end of its peer and errors, which always are. */
struct socket_interest {
    bool readable = false; ///< bytes, or a connection to accept
    bool writable = false; ///< room for bytes, or the end of connecting

    friend bool operator==(const socket_interest&, const socket_interest&) = default;
};

/** What has come of a socket. */
struct socket_events {
    bool readable = false;    ///< bytes wait, or the peer has ended its side
    bool writable = false;    ///< there is room for bytes
    bool peer_closed = false; ///< the peer sends nothing more
    bool failed = false;      ///< the connection is broken
};

class socket_poller;

/** One socket's registration; ends with this object. */
class socket_watch {
public:
    using handler = std::function<void(socket_events)>;

    socket_watch() = default;
    socket_watch(socket_watch&& other) noexcept;
    socket_watch& operator=(socket_watch&& other) noexcept;
    socket_watch(const socket_watch&) = delete;
    socket_watch& operator=(const socket_watch&) = delete;
    ~socket_watch() { reset(); }

    /** Ends the registration. */
    void reset();
    /** Changes what is waited for. */
    void set_interest(socket_interest interest);

private:
    friend class socket_poller;
    socket_watch(socket_poller& owner, int fd, std::size_t slot, socket_interest interest)
        : owner_{&owner}, fd_{fd}, slot_{slot}, interest_{interest} {}

    socket_poller* owner_ = nullptr; ///< null for none
    int fd_ = -1;                    ///< the socket
    std::size_t slot_ = 0;           ///< its place in the poller
    socket_interest interest_;       ///< what is waited for
};

/**
 * Waits on many sockets by one epoll set, which the main loop sees as one source: a turn of the loop costs
 * what is ready, not what is open. Outlives its watches.
 */
class socket_poller {
public:
    /** @param clock read once before each batch of handlers; runs what is due after them */
    explicit socket_poller(loop_clock& clock);
    socket_poller(const socket_poller&) = delete;
    socket_poller& operator=(const socket_poller&) = delete;
    socket_poller(socket_poller&&) = delete;
    socket_poller& operator=(socket_poller&&) = delete;
    ~socket_poller();

    /** Registers a socket. @param run called on the loop; may end its own watch */
    [[nodiscard]] socket_watch add(const unique_fd& fd, socket_interest interest, socket_watch::handler run);

private:
    friend class socket_watch;
    struct slot {
        std::uint32_t generation = 0;               ///< tells events of an earlier socket in this place
        std::shared_ptr<socket_watch::handler> run; ///< null for a free place
    };

    void remove(int fd, std::size_t place);
    void change(int fd, std::size_t place, socket_interest interest);
    [[nodiscard]] std::uint64_t key_of(std::size_t place) const;
    void dispatch();

    loop_clock& clock_;             ///< the process's clock
    unique_fd epoll_;               ///< the set
    GSource* source_;               ///< the set as the loop sees it
    std::vector<slot> slots_;       ///< by place
    std::vector<std::size_t> free_; ///< places to use again
};

} // namespace pollengrade
