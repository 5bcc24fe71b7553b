/** @file http_func.h Names of headers, and small helpers over libsoup. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <libsoup/soup.h>

#include "runtime/glib_ptr.h"

namespace pollengrade {

inline constexpr const char* request_id_header = "X-Request-Id";       ///< names one request
inline constexpr const char* deadline_ms_header = "X-Deadline-Ms";     ///< milliseconds left
inline constexpr const char* index_version_header = "X-Index-Version"; ///< the pinned snapshot
inline constexpr const char* not_run_header = "X-Not-Run";             ///< why a server did not run a request
inline constexpr const char* retry_after_ms_header = "X-Retry-After-Ms"; ///< when to come back
inline constexpr const char* idempotency_key_header = "Idempotency-Key"; ///< names one order

/** @return the number in @p text; nullopt when it is null or not a plain decimal number. */
[[nodiscard]] std::optional<std::uint64_t> parse_natural(const char* text);

/** @return @p text as it may stand in a query. */
[[nodiscard]] std::string escape_uri(std::string_view text);

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
