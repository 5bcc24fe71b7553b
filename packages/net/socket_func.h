/** @file socket_func.h Non-blocking TCP sockets over IPv4: listen, accept and connect. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <sys/types.h>

#include "core/base/time_type.h"
#include "net/unique_fd.h"

namespace pollengrade {

/** TCP settings that determine how fast an unresponsive peer is detected. */
struct keepalive_limits {
    duration keepalive_idle;     ///< idle time before the first keepalive probe; whole seconds
    duration keepalive_interval; ///< between two keepalive probes; whole seconds
    int keepalive_probes = 2;    ///< unanswered probes that end the connection
    duration unacknowledged;     ///< the connection ends if sent bytes stay unacknowledged for this long
};

/** @return a listening, non-blocking socket at "IPv4:port"; invalid if that fails. */
[[nodiscard]] unique_fd listen_at(std::string_view address);

/** @return a connected, non-blocking socket accepted from @p listener; invalid if none is waiting. */
[[nodiscard]] unique_fd accept_from(const unique_fd& listener, const keepalive_limits& limits);

/**
 * Starts to connect; the socket becomes writable when the attempt has ended, see socket_error().
 * @param address "IPv4:port"
 * @param limits keepalive settings of the socket
 * @param source IPv4 address to connect from; empty to let the system choose
 * @return the socket; invalid if connecting failed at once
 */
[[nodiscard]] unique_fd start_connect(std::string_view address, const keepalive_limits& limits,
                                      std::string_view source = {});

/** Sizes of the kernel's buffers of a connection, in bytes; the kernel takes up to twice as much. */
struct buffer_sizes {
    int sent = 0;     ///< bytes sent and not acknowledged
    int received = 0; ///< bytes received and not read
};

/** Bounds the kernel's buffers of all connections that a listening socket accepts from now on. */
void limit_buffers(const unique_fd& listener, buffer_sizes sizes);

/** Lets the kernel hold more received bytes of one connection, and its peer send as many. */
void enlarge_receive_buffer(const unique_fd& fd, int bytes);

/** Makes the next close of a socket discard what has not been sent; the peer sees a reset. */
void reset_on_close(const unique_fd& fd);

/**
 * Writes two pieces that follow each other, of which the first @p written bytes have been written already.
 * @return as send()
 */
[[nodiscard]] ssize_t send_pieces(const unique_fd& fd, std::string_view first, std::string_view second,
                                  std::size_t written);

/** @return the IPv4 address of a socket's peer; empty if there is none. */
[[nodiscard]] std::string peer_of(const unique_fd& fd);

/** @return the pending error of a socket, 0 for none; reading it clears it. */
[[nodiscard]] int socket_error(const unique_fd& fd);

/** @return whether a socket can be read, or a connection accepted from it, at once. */
[[nodiscard]] bool is_readable(const unique_fd& fd);

/**
 * @param wanted connections that a listener may have open
 * @return as many, but no more than three quarters of the descriptors that the process may open
 */
[[nodiscard]] std::size_t connections_within_descriptors(std::size_t wanted);

/** @return whether the call that just failed would have blocked or was interrupted. */
[[nodiscard]] bool would_block();

/** Keepalive limits for connections between nodes and to servers: the shortest that the kernel supports. */
[[nodiscard]] keepalive_limits fast_keepalive_limits();
/** Keepalive limits for callers' connections, which may stay idle for a long time. */
[[nodiscard]] keepalive_limits slow_keepalive_limits();

} // namespace pollengrade
