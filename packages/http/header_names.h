/** @file header_names.h Header lines of our own interface. */
#pragma once

namespace pollengrade {

inline constexpr const char* request_id_header = "X-Request-Id";       ///< names one request
inline constexpr const char* deadline_ms_header = "X-Deadline-Ms";     ///< milliseconds left
inline constexpr const char* index_version_header = "X-Index-Version"; ///< the pinned snapshot
inline constexpr const char* not_run_header = "X-Not-Run";             ///< why a server did not run a request
inline constexpr const char* retry_after_ms_header = "X-Retry-After-Ms"; ///< when to come back
inline constexpr const char* idempotency_key_header = "Idempotency-Key"; ///< names one order

} // namespace pollengrade
