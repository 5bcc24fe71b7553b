/** @file forward_type.h Answers to forwarded requests. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/base/message_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** A server's reply, forwarded unchanged. */
struct proxied_answer {
    reply_message message; ///< the server's message
};

/** Merged replies of several shards. */
struct gathered_answer {
    std::vector<std::string> signatures; ///< signatures of the merged replies, one per shard
    std::size_t missing = 0;             ///< number of shards without a merged reply
    std::string records;                 ///< greatest records of the merged replies, in descending order
};

/** Why a request did not run. */
enum class forward_refusal : std::uint8_t {
    not_configured, ///< this node has no routes yet, or older ones than a delegated query requires
    no_time,        ///< too little time was left, or the deadline passed while the request waited
    no_server,      ///< too few of the required servers are known to be usable
    overload,       ///< the expected wait exceeds the time left
    refused_by_all, ///< the servers refused the request before running it
    stopping,       ///< this node ends before the request would
};

/** The request did not run and never will. */
struct refused_answer {
    forward_refusal reason = forward_refusal::no_server; ///< why
    duration retry_after{};                              ///< when the caller may retry
};

/** Why a request that may have run has no answer. */
enum class forward_failure : std::uint8_t {
    timed_out,        ///< no reply in time
    connection_lost,  ///< the connection of every attempt ended without a complete reply
    too_few_parts,    ///< fewer shards replied than an answer requires
    unproven_refusal, ///< a server's status says that the request has not run, but not that this is certain
};

/** The request may have run, but there is no answer. */
struct failed_answer {
    forward_failure reason = forward_failure::timed_out; ///< why
};

/** No route matches the request's host and path. */
struct unroutable_answer {};

using forward_answer =
    std::variant<proxied_answer, gathered_answer, refused_answer, failed_answer, unroutable_answer>;
using forward_hook = std::function<void(forward_answer)>;

/** @return the name used in logs and metrics. */
[[nodiscard]] std::string_view to_string(forward_refusal it);
[[nodiscard]] std::string_view to_string(forward_failure it);

} // namespace pollengrade
