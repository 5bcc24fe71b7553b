/** @file shard_func.cpp Validates shard maps and merges result rows. */
#include "core/upstreams/shard_func.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <set>

#include "core/base/address_func.h"

namespace pollengrade {

namespace {

constexpr std::array<std::string_view, 5> shard_map_error_names{"malformed", "no_shards", "too_many",
                                                                "duplicate_shard", "bad_address"};

} // namespace

std::string_view to_string(shard_map_error it) {
    return shard_map_error_names.at(static_cast<std::size_t>(it));
}

tl::expected<void, shard_map_error> check(const shard_map& map) {
    if (map.shards.empty())
        return tl::unexpected{shard_map_error::no_shards};
    if (map.shards.size() > max_shards)
        return tl::unexpected{shard_map_error::too_many};
    std::set<shard_id> seen;
    for (const shard_entry& it : map.shards) {
        if (!seen.insert(it.id).second)
            return tl::unexpected{shard_map_error::duplicate_shard};
        if (it.replicas.size() > max_replicas)
            return tl::unexpected{shard_map_error::too_many};
        const auto valid = [](const upstream_address& address) { return is_address(address.value()); };
        if (!std::all_of(it.replicas.begin(), it.replicas.end(), valid))
            return tl::unexpected{shard_map_error::bad_address};
    }
    return {};
}

const shard_entry& shard_of_number(const shard_map& map, std::uint64_t number) {
    assert(!map.shards.empty());
    return map.shards.at(number % map.shards.size());
}

void merge_rows(std::vector<result_row>& rows, std::size_t limit) {
    const auto before = [](const result_row& a, const result_row& b) {
        if (a.score != b.score)
            return a.score > b.score;
        return a.key < b.key;
    };
    const auto kept = std::min(limit, rows.size());
    std::partial_sort(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(kept), rows.end(), before);
    rows.resize(kept);
}

} // namespace pollengrade
