/** @file attempt_type.h One request to one server: what is sent, and what comes of it. */
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

/** A request of our own interface to a server that holds a shard. */
struct index_request {
    service_name service;                     ///< the service
    shard_id shard;                           ///< the shard wanted
    index_version version;                    ///< the pinned snapshot
    std::shared_ptr<const shard_query> query; ///< what is asked
};

/** A caller's request that goes on as it came. */
struct forwarded_request {
    request_id id;                           ///< the caller's name for this try of its request
    std::string host;                        ///< which the caller asked for
    std::string path;                        ///< of the target, without its query
    std::optional<duration> time_left;       ///< how long the caller waits; nullopt when it did not say
    request_message message;                 ///< without lines that concern one connection
    std::shared_ptr<const std::string> body; ///< null for none
};

/** A server's reply to a request that went on as it came. */
struct forwarded_reply {
    reply_message message; ///< without lines that concern one connection
    std::string signature; ///< the server's proof of having made this reply; empty when it gave none
};

/** A server's reply. */
using attempt_reply = std::variant<shard_reply, forwarded_reply>;

/** One attempt's failure. */
struct attempt_failure {
    attempt_error code = attempt_error::not_sent; ///< what went wrong
    duration retry_after{};                       ///< when the server wants to be asked again
};

using attempt_result = tl::expected<attempt_reply, attempt_failure>;

/** One request, to be sent to one server of a replica set. */
struct attempt_request {
    replica_set_name set;                                 ///< its servers serve alike
    work_class work;                                      ///< requests of like cost, for what is usual
    request_id request;                                   ///< the caller's request
    time_point deadline;                                  ///< when the answer is of no more use
    std::uint32_t priority = 0;                           ///< lower goes first when attempts wait
    placement_purpose purpose = placement_purpose::first; ///< which servers will do
    std::vector<upstream_id> excluded;                    ///< servers not to be sent it
    std::variant<index_request, std::shared_ptr<const forwarded_request>> content; ///< what is sent
};

/** How an attempt ended. */
struct attempt_end {
    attempt_id id;                                ///< the attempt
    upstream_id server;                           ///< where it was sent; empty when it was not
    send_state state = send_state::not_connected; ///< how far it had come
    duration took{};                              ///< from sending to the end; zero when it was not sent
    attempt_result result;                        ///< the reply, or what went wrong
};

} // namespace pollengrade
