/** @file claim_type.h The platform object that ensures that an order runs at most once. */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/id_type.h"
#include "core/config/object_type.h"
#include "core/upstreams/shard_type.h"

namespace pollengrade {

/** Progress of an order. Only the owner of the claim changes it; a released claim may be claimed again.
 */
enum class claim_state : std::uint8_t {
    claimed,  ///< the owner may send the order, or may have sent it
    released, ///< the owner never sent the order and never will: another run may claim it
    answered, ///< the order ran; its result is recorded
    unknown,  ///< the order was sent; whether it ran cannot be determined
};

/** Claim of one order. */
struct claim {
    claim_state state = claim_state::claimed; ///< progress of the order
    std::string token;                        ///< unique to the run that owns the claim
    std::uint64_t fingerprint = 0;            ///< hash of the order's content
    index_version version;                    ///< for answered: snapshot version that the server read
    shard_id shard;                           ///< for answered: shard that ran the order
    std::vector<result_row> rows;             ///< for answered: confirmation rows
};

/** A claim as stored in the platform. */
struct stored_claim {
    claim value;            ///< the claim
    object_version version; ///< object version of the stored claim
};

using store_result = tl::expected<stored_claim, store_error>;
using store_done = std::function<void(store_result)>;
/** Name of a claim in the platform. */
using claim_name = strong_type<struct claim_name_tag, std::string>;

/** Platform operations that orders use. Each one calls its callback exactly once, in bounded time. */
struct claim_store_hooks {
    std::function<void(const claim_name&, store_done)> read; ///< reads a claim
    /** Writes a claim if the stored object has the given version; version 0 means that it must not exist. */
    std::function<void(const claim_name&, const claim&, object_version, store_done)> write;
};

} // namespace pollengrade
