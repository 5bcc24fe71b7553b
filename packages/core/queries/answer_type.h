/** @file answer_type.h What a caller asks and what it is told. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/base/error_type.h"
#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/upstreams/shard_type.h"

namespace pollengrade {

/** One request of a caller. */
struct caller_request {
    request_id id;                            ///< the caller's, or made by the node
    service_name service;                     ///< which service
    std::shared_ptr<const shard_query> query; ///< what is asked
    duration deadline{};                      ///< from now; zero for the document's default
};

/** A shard that an answer lacks. */
struct missing_shard {
    shard_id shard;                                   ///< which
    missing_reason reason = missing_reason::deadline; ///< why
};

/** What a refusal says was not run. */
enum class refusal_scope : std::uint8_t {
    request, ///< the request as a whole, under its idempotency key if it has one
    attempt, ///< this submission; an earlier one under the same key may have run
};

/** What a caller is told. */
struct answer {
    request_id id;                                ///< the request
    outcome result = outcome::refused;            ///< how it ended
    refusal_reason reason = refusal_reason::none; ///< for refused and invalid
    refusal_scope scope = refusal_scope::request; ///< for refused: what was not run
    index_version version;                        ///< the one snapshot of all rows
    std::vector<result_row> rows;                 ///< best first
    std::vector<shard_id> included;               ///< shards that the answer covers
    std::vector<missing_shard> missing;           ///< shards that it lacks
    duration retry_after{};                       ///< when to come back, for refused
    bool replayed = false;                        ///< an order's recorded outcome, not a new run
};

using answer_hook = std::function<void(answer)>;

} // namespace pollengrade
