/** @file header_names.h Header names of Pollengrade's own HTTP interface. */
#pragma once

namespace pollengrade {

inline constexpr const char* request_id_header = "X-Request-Id";       ///< ID of a request
inline constexpr const char* deadline_ms_header = "X-Deadline-Ms";     ///< milliseconds until the deadline
inline constexpr const char* index_version_header = "X-Index-Version"; ///< version of the pinned snapshot
inline constexpr const char* not_run_header = "X-Not-Run";             ///< why a server did not run a request
inline constexpr const char* retry_after_ms_header = "X-Retry-After-Ms"; ///< minimum delay before a retry
inline constexpr const char* idempotency_key_header = "Idempotency-Key"; ///< idempotency key of an order

} // namespace pollengrade
