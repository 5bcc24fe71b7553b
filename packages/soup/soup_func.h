/** @file soup_func.h Helper functions for libsoup. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <libsoup/soup.h>

#include "runtime/glib_ptr.h"

namespace pollengrade {

/** @return a view of the content of @p bytes, valid while @p bytes lives. */
[[nodiscard]] std::string_view view_of(GBytes* bytes);

/**
 * Makes a client session without timeout, proxy, content decoding or authentication.
 * @param connections maximum number of connections, in total and per host
 * @param idle_seconds idle time after which a connection is closed
 */
[[nodiscard]] gobject_ptr<SoupSession> make_session(std::uint32_t connections, guint idle_seconds);

/** @return the socket address of "IPv4:port". @pre is_address() holds */
[[nodiscard]] gobject_ptr<GSocketAddress> to_socket_address(std::string_view address);

} // namespace pollengrade
