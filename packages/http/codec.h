/** @file codec.h The JSON forms of answers, shard replies, shard maps and claims. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/queries/answer_type.h"
#include "core/queries/claim_type.h"
#include "core/upstreams/shard_func.h"
#include "core/upstreams/shard_type.h"

namespace pollengrade {

/** @return an answer as callers get it. */
[[nodiscard]] std::string encode_answer(const answer& it);

/** @return a server's reply; nullopt when it has not the documented shape. */
[[nodiscard]] std::optional<shard_reply> decode_shard_reply(std::string_view text);

/**
 * Reads the snapshots of a service: {"versions": [{"version": 7, "shards": [{"id": 0, "replicas":
 * ["..."]}]}]}.
 * @return every version's shard map, or the first thing wrong
 */
[[nodiscard]] tl::expected<std::vector<shard_map>, shard_map_error> decode_shard_maps(std::string_view text);

/** @return a claim as the platform holds it. */
[[nodiscard]] std::string encode_claim(const claim& it);
/** @return a claim; nullopt when the object is not one. */
[[nodiscard]] std::optional<claim> decode_claim(std::string_view text);

/** @return the time line of one process. */
[[nodiscard]] std::string encode_events(std::string_view node, const event_log& log);

} // namespace pollengrade
