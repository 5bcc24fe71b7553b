/** @file soup_func.h Small helpers over libsoup, for the client and the stand-ins. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <libsoup/soup.h>

#include "runtime/glib_ptr.h"

namespace pollengrade {

/** @return the content of @p bytes. */
[[nodiscard]] std::string_view view_of(GBytes* bytes);

/**
 * Makes a client session that only does what the project asks of it.
 * @param connections most connections, all to one host
 * @param idle_seconds when an unused connection is closed
 */
[[nodiscard]] gobject_ptr<SoupSession> make_session(std::uint32_t connections, guint idle_seconds);

/** @return the socket address of "IPv4:port". @pre is_address() holds */
[[nodiscard]] gobject_ptr<GSocketAddress> to_socket_address(std::string_view address);

} // namespace pollengrade
