/** @file error_type.h Outcomes of requests, and the reasons why a request or a part of it failed. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pollengrade {

/** How a request ended, as reported to its caller. */
enum class outcome : std::uint8_t {
    answered, ///< complete: every shard of the snapshot is included
    partial,  ///< correct for the included shards; the coverage lists the missing ones
    refused,  ///< not run, and will not be run later
    unknown,  ///< may or may not have run; only orders end this way
    invalid,  ///< not run, because the request itself is invalid
};

/** How one attempt to run a request on one server failed. */
enum class attempt_error : std::uint8_t {
    not_sent,        ///< no byte of the request left this node
    rate_limited,    ///< not sent: within the rates that the servers state it could not be sent in time
    shed,            ///< the server refused the request because of load, before running it
    draining,        ///< the server refused the request because it is draining
    version_absent,  ///< the server does not hold the pinned index version
    wrong_server,    ///< a different server uses the address now; it did not run the request
    refused,         ///< the server refused to run the request for a reason other than load
    connection_lost, ///< the connection ended after the request was sent
    timed_out,       ///< no reply within the attempt's time limit
    malformed,       ///< the reply is not valid
    oversized,       ///< the reply exceeds the size limit
    wrong_request,   ///< the reply belongs to another request
    wrong_version,   ///< the reply is for another index version
    server_error,    ///< the server failed while running the request
    cancelled,       ///< cancelled by this node
    count,           ///< number of the values above
};

/** Why a shard is missing from an answer. */
enum class missing_reason : std::uint8_t {
    no_replica,     ///< no server of the shard is known to be usable
    deadline,       ///< the deadline passed before the shard replied
    tail_cut,       ///< the service document's tail cut ended the wait
    load_shed,      ///< every usable server shed the request
    version_absent, ///< no server of the shard still holds the snapshot
    failed,         ///< every attempt failed
};

/** Why a request was refused or is invalid. */
enum class refusal_reason : std::uint8_t {
    none,
    unknown_service,
    no_snapshot,      ///< no index version of the service can be served
    overload,         ///< the expected wait is longer than the deadline
    deadline_passed,  ///< the deadline passed before anything was sent
    stopping,         ///< this node is shutting down
    platform_down,    ///< an order could not be claimed
    orders_forbidden, ///< the service does not accept orders
    key_expired,      ///< the idempotency key is too old to rule out a replay, or too far in the future
    key_malformed,    ///< the idempotency key is not a UUIDv7
    key_reused,       ///< the idempotency key belongs to another order
    bad_request,      ///< a field is missing or out of range
    upstream_refused, ///< every server refused the request before running it
    not_ready,        ///< this node does not have its configuration yet
};

/** @return the name used in logs, JSON and metrics. */
[[nodiscard]] std::string_view to_string(outcome it);
[[nodiscard]] std::string_view to_string(attempt_error it);
[[nodiscard]] std::string_view to_string(missing_reason it);
[[nodiscard]] std::string_view to_string(refusal_reason it);

/** @return whether this error proves that the server did not run the request. */
[[nodiscard]] constexpr bool proves_not_run(attempt_error it) {
    return it == attempt_error::not_sent || it == attempt_error::rate_limited || it == attempt_error::shed ||
           it == attempt_error::draining || it == attempt_error::version_absent ||
           it == attempt_error::wrong_server || it == attempt_error::refused;
}

/** Number of attempt errors, for arrays indexed by attempt_error. */
inline constexpr std::size_t attempt_error_count = static_cast<std::size_t>(attempt_error::count);

} // namespace pollengrade
