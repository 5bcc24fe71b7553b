/** @file codec.h Encodes and decodes answers, shard replies, shard maps, claims and event logs as JSON. */
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

/** @return the JSON document of an answer for a caller. */
[[nodiscard]] std::string encode_answer(const answer& it);

/** @return a server's reply; nullopt if it does not have the documented structure. */
[[nodiscard]] std::optional<shard_reply> decode_shard_reply(std::string_view text);

/**
 * Reads the snapshots of a service: {"versions": [{"version": 7, "shards": [{"id": 0, "replicas":
 * ["..."]}]}]}.
 * @return the shard map of each version, or the first error
 */
[[nodiscard]] tl::expected<std::vector<shard_map>, shard_map_error> decode_shard_maps(std::string_view text);

/** @return the JSON document of a claim as stored in the platform. */
[[nodiscard]] std::string encode_claim(const claim& it);
/** @return a claim; nullopt if the document is not a valid claim. */
[[nodiscard]] std::optional<claim> decode_claim(std::string_view text);

/** @return the JSON document of the event log of a node. */
[[nodiscard]] std::string encode_events(std::string_view node, const event_log& log);

} // namespace pollengrade
