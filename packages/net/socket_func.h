/** @file socket_func.h TCP sockets over IPv4: listening, accepting, connecting, without blocking. */
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/base/time_type.h"
#include "net/unique_fd.h"

namespace pollengrade {

/** How fast a socket finds out that its peer is silent. */
struct silence_limits {
    duration keepalive_idle;     ///< quiet time before the kernel asks the peer; whole seconds
    duration keepalive_interval; ///< between two such questions; whole seconds
    int keepalive_tries = 2;     ///< questions without an answer that end the connection
    duration unacknowledged;     ///< sent bytes not acknowledged for this long end the connection
};

/** @return a listening, non-blocking socket at "IPv4:port"; invalid when it cannot be had. */
[[nodiscard]] unique_fd listen_at(std::string_view address);

/** @return a connected, non-blocking socket accepted from @p listener; invalid when none waits. */
[[nodiscard]] unique_fd accept_from(const unique_fd& listener, const silence_limits& limits);

/**
 * Starts to connect; the socket turns writable once that has ended, see connect_error().
 * @param address "IPv4:port"
 * @param limits set on the socket
 * @return the socket; invalid when connecting failed at once
 */
[[nodiscard]] unique_fd start_connect(std::string_view address, const silence_limits& limits);

/** @return the pending error of a socket, 0 for none; reading it clears it. */
[[nodiscard]] int socket_error(const unique_fd& fd);

/** @return whether the call that just failed would have blocked or was interrupted. */
[[nodiscard]] bool would_block();

/** Silence limits of connections within the fleet and to servers: the shortest the kernel can count. */
[[nodiscard]] silence_limits prompt_silence_limits();
/** Silence limits of callers' connections, which may be idle for long. */
[[nodiscard]] silence_limits patient_silence_limits();

} // namespace pollengrade
