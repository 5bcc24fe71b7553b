/** @file error_type.h Why a request, or a part of one, did not give its result. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pollengrade {

/** How a request ended, as told to its caller. */
enum class outcome : std::uint8_t {
    answered, ///< whole: every shard of the snapshot is included
    partial,  ///< true as far as it goes: coverage names what is missing
    refused,  ///< not run, and never will be
    unknown,  ///< it may have run; only orders end this way
    invalid,  ///< the request itself is wrong; not run
};

/** How one attempt at one server failed. */
enum class attempt_error : std::uint8_t {
    not_sent,        ///< no byte of the request left this node
    shed,            ///< the server refused for load before running it
    draining,        ///< the server refused because it is leaving
    version_absent,  ///< the server does not hold the pinned index version
    wrong_server,    ///< another server has the address now, and did not run it
    refused,         ///< the server refused to run it, for another reason than load
    connection_lost, ///< the connection ended after the request was sent
    timed_out,       ///< no reply within the attempt's time
    malformed,       ///< the reply could not be read
    oversized,       ///< the reply is over the size limit
    wrong_request,   ///< the reply belongs to another request
    wrong_version,   ///< the reply is of another index version
    server_error,    ///< the server failed while running it
    cancelled,       ///< withdrawn by this node
    count,           ///< number of the values above
};

/** Why a shard is missing from an answer. */
enum class missing_reason : std::uint8_t {
    no_replica,     ///< no server of the shard is known to be usable
    deadline,       ///< the deadline came first
    tail_cut,       ///< the service document stops waiting here
    load_shed,      ///< every usable server shed the request
    version_absent, ///< no server of the shard holds the snapshot any more
    failed,         ///< every attempt failed
};

/** Why a request was refused or found invalid. */
enum class refusal_reason : std::uint8_t {
    none,
    unknown_service,
    no_snapshot,      ///< no index version of the service can be served
    overload,         ///< the expected wait is longer than the deadline
    deadline_passed,  ///< no time left before anything was sent
    stopping,         ///< this node is shutting down
    platform_down,    ///< an order could not be claimed
    orders_forbidden, ///< the service takes no orders
    key_expired,      ///< the idempotency key is too old to be told from a replay
    key_malformed,    ///< the idempotency key is not a UUIDv7
    key_reused,       ///< the idempotency key belongs to another order
    bad_request,      ///< a field is missing or out of range
    upstream_refused, ///< every server refused before running it
    not_ready,        ///< this node does not hold its configuration yet
};

/** @return the name used in JSON and in metrics. */
[[nodiscard]] std::string_view to_string(outcome it);
[[nodiscard]] std::string_view to_string(attempt_error it);
[[nodiscard]] std::string_view to_string(missing_reason it);
[[nodiscard]] std::string_view to_string(refusal_reason it);

/** @return whether a failure of this kind proves that the server did not run the request. */
[[nodiscard]] constexpr bool proves_not_run(attempt_error it) {
    return it == attempt_error::not_sent || it == attempt_error::shed || it == attempt_error::draining ||
           it == attempt_error::version_absent || it == attempt_error::wrong_server ||
           it == attempt_error::refused;
}

/** Number of attempt errors, for arrays indexed by them. */
inline constexpr std::size_t attempt_error_count = static_cast<std::size_t>(attempt_error::count);

} // namespace pollengrade
