/** @file attempt_type.h One request to one server: its content and its result. */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/error_type.h"
#include "core/base/id_type.h"
#include "core/base/message_type.h"
#include "core/base/time_type.h"
#include "core/upstreams/connection_type.h"
#include "core/upstreams/placement_func.h"
#include "core/upstreams/shard_type.h"

namespace pollengrade {

/** A request to a server that holds a shard, in the project's own interface. */
struct index_request {
    service_name service;                     ///< the service
    shard_id shard;                           ///< the requested shard
    index_version version;                    ///< the pinned snapshot
    std::shared_ptr<const shard_query> query; ///< the query
};

/** A caller's request that is forwarded unchanged. */
struct forwarded_request {
    request_id id;                     ///< the caller's ID of this attempt of its request
    std::string host;                  ///< host that the caller requested
    std::string path;                  ///< path of the request target, without its query string
    std::optional<duration> time_left; ///< how long the caller still waits; nullopt if it did not state it
    duration caller_round_trip{};      ///< round trip of the caller's connection; zero if unknown
    request_message message;           ///< without hop-by-hop header lines
    std::shared_ptr<const std::string> body; ///< null for none
};

/** A server's reply to a forwarded request. */
struct forwarded_reply {
    reply_message message; ///< without hop-by-hop header lines
    std::string signature; ///< signature by which the server proves that it made the reply; empty for none
    /** Whether its status tells a caller that the request has not run, though the server did not state that.
     */
    bool is_unproven_refusal = false;
};

/** A server's reply. */
using attempt_reply = std::variant<shard_reply, forwarded_reply>;

/** Failure of one attempt. */
struct attempt_failure {
    attempt_error code = attempt_error::not_sent; ///< kind of failure
    duration retry_after{};                       ///< backoff that the server asked for; zero for none
};

using attempt_result = tl::expected<attempt_reply, attempt_failure>;

/** One request, to be sent to one server of a replica set. */
struct attempt_request {
    replica_set_name set;       ///< replica set whose servers are interchangeable
    work_class work;            ///< kind of work of similar cost, for latency statistics
    request_id request;         ///< ID of the caller's request
    time_point deadline;        ///< after this the answer is useless
    time_point target;          ///< after this the answer is worth less
    std::uint32_t priority = 0; ///< among queued attempts, lower is sent first
    placement_purpose purpose = placement_purpose::first; ///< which servers are acceptable
    std::vector<upstream_id> excluded;                    ///< servers that must not be sent the request
    std::variant<index_request, std::shared_ptr<const forwarded_request>> content; ///< the request itself
};

/** End of an attempt. */
struct attempt_end {
    attempt_id id;                                ///< the attempt
    upstream_id server;                           ///< where it was sent; empty if it was not sent
    send_state state = send_state::not_connected; ///< progress of the request at the end
    duration took{};                              ///< time from sending to the end; zero if it was not sent
    attempt_result result;                        ///< the reply or the failure
};

} // namespace pollengrade
