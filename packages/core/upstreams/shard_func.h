/** @file shard_func.h Functions on shard maps and result rows. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "core/upstreams/shard_type.h"

namespace pollengrade {

/** Reason why a shard map is invalid. */
enum class shard_map_error : std::uint8_t {
    malformed,       ///< not the JSON shape of a shard map
    no_shards,       ///< a version without shards
    too_many,        ///< over max_shards or max_replicas
    duplicate_shard, ///< a shard is listed twice
    bad_address,     ///< a server address is not "IPv4:port"
};

/** @return the name of @p it that is used in messages. */
[[nodiscard]] std::string_view to_string(shard_map_error it);

/** @return the first error found in @p map, if any. */
[[nodiscard]] tl::expected<void, shard_map_error> check(const shard_map& map);

/** @return the shard that holds @p number. @pre @p map has shards */
[[nodiscard]] const shard_entry& shard_of_number(const shard_map& map, std::uint64_t number);

/** Sorts @p rows by score, then by key, and keeps the first @p limit. */
void merge_rows(std::vector<result_row>& rows, std::size_t limit);

} // namespace pollengrade
