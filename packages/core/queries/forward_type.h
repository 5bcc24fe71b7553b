/** @file forward_type.h What the caller of a forwarded request is told. */
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

/** A server's reply, passed on as it came. */
struct proxied_answer {
    reply_message message; ///< the server's
};

/** The merged replies of several shards. */
struct gathered_answer {
    std::vector<std::string> signatures; ///< of the parts that are in, one a shard
    std::size_t missing = 0;             ///< shards that are not
    std::string records;                 ///< the greatest records of the parts, greatest first
};

/** Why a request was not run. */
enum class forward_refusal : std::uint8_t {
    not_configured, ///< this node knows no routes yet
    no_time,        ///< its deadline had passed, or passed while it waited
    no_server,      ///< too few of the servers that it needs are known to be usable
    overload,       ///< it would have to wait for longer than it may
    refused_by_all, ///< every server refused it before running it
};

/** Not run, and never will be. */
struct refused_answer {
    forward_refusal reason = forward_refusal::no_server; ///< why
    duration retry_after{};                              ///< when to come back
};

/** Why a request that a server may have run has no answer. */
enum class forward_failure : std::uint8_t {
    timed_out,       ///< no reply in time
    connection_lost, ///< every try's connection ended without a whole reply
    too_few_parts,   ///< fewer shards replied than make an answer
};

/** May have run; there is no answer. */
struct failed_answer {
    forward_failure reason = forward_failure::timed_out; ///< why
};

/** No route leads on from the request's host and path. */
struct unroutable_answer {};

using forward_answer =
    std::variant<proxied_answer, gathered_answer, refused_answer, failed_answer, unroutable_answer>;
using forward_hook = std::function<void(forward_answer)>;

/** @return the name used in logs and metrics. */
[[nodiscard]] std::string_view to_string(forward_refusal it);
[[nodiscard]] std::string_view to_string(forward_failure it);

} // namespace pollengrade
