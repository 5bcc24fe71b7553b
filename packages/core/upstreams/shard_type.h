/** @file shard_type.h Types of shard maps, shard requests and shard replies. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/base/error_type.h"
#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

inline constexpr std::size_t max_shards = 4096;                          ///< in a shard map
inline constexpr std::size_t max_replicas = 16;                          ///< servers of one shard
inline constexpr std::size_t max_reply_bytes = std::size_t{1024} * 1024; ///< in the reply of one server
inline constexpr std::size_t max_query_bytes = 4096;                     ///< in a search text or order body
inline constexpr std::size_t max_request_id_bytes = 64;                  ///< in a request ID

/** One shard and the servers that hold it. */
struct shard_entry {
    shard_id id;                            ///< the shard
    std::vector<upstream_address> replicas; ///< its servers, unordered
};

/** Partition of one index version into shards. */
struct shard_map {
    index_version version;           ///< the snapshot that the map describes
    std::vector<shard_entry> shards; ///< every shard of the snapshot
};

using shard_map_ptr = std::shared_ptr<const shard_map>;

/** Kind of query. */
enum class query_kind : std::uint8_t {
    search, ///< queries every shard; idempotent
    lookup, ///< queries the shard that holds a number; idempotent
    order,  ///< sent to the shard that holds a number; not idempotent
};

/** The part of a request that is sent to servers. */
struct shard_query {
    query_kind kind = query_kind::search; ///< kind of query
    std::string text;                     ///< search text, or the body of an order
    std::uint64_t number = 0;             ///< the number looked up or ordered
    std::uint32_t max_rows = 0;           ///< maximum number of rows to return
    std::string idempotency_key;          ///< identifies an order; empty for other queries
};

/** One result row. */
struct result_row {
    std::int64_t score = 0; ///< rows with a higher score come first
    std::string key;        ///< orders rows of equal score, ascending
    std::string text;       ///< text shown to the caller

    friend bool operator==(const result_row&, const result_row&) = default;
};

/** One server's reply. */
struct shard_reply {
    request_id request;                 ///< the request it answers
    shard_id shard;                     ///< the shard it searched
    index_version version;              ///< the snapshot it read
    std::vector<result_row> rows;       ///< matches, best first
    std::uint32_t server_in_flight = 0; ///< requests running at the server when it replied
    bool server_draining = false;       ///< whether the server is draining
    std::string server_incarnation;     ///< changes when the server restarts
};

} // namespace pollengrade
