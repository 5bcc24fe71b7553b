/** @file claim_type.h The platform object that makes an order run at most once. */
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

/** How far an order has come. Only the claimer moves it on. */
enum class claim_state : std::uint8_t {
    claimed,  ///< the claimer may send, or may have sent
    released, ///< the claimer never sent and never will: another may claim
    answered, ///< ran; the result is recorded
    unknown,  ///< sent; whether it ran cannot be known
};

/** One order's claim. */
struct claim {
    claim_state state = claim_state::claimed; ///< how far the order has come
    std::string token;                        ///< unique to one claimer of one request
    std::uint64_t fingerprint = 0;            ///< of the order's content
    index_version version;                    ///< for answered: the snapshot that the server read
    shard_id shard;                           ///< for answered: where it ran
    std::vector<result_row> rows;             ///< for answered: the confirmation
};

/** A claim as the platform holds it. */
struct stored_claim {
    claim value;            ///< the claim
    object_version version; ///< its version
};

using store_result = tl::expected<stored_claim, store_error>;
using store_done = std::function<void(store_result)>;
/** A claim's name in the platform. */
using claim_name = strong_type<struct claim_name_tag, std::string>;

/** What orders need of the platform. Every call ends in one call of its hook, in bounded time. */
struct claim_store_hooks {
    std::function<void(const claim_name&, store_done)> read; ///< reads a claim
    /** Writes a claim if the object is at a version; version 0 stands for "absent". */
    std::function<void(const claim_name&, const claim&, object_version, store_done)> write;
};

} // namespace pollengrade
