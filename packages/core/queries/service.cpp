/** @file service.cpp Documents and snapshots in force, and the pin of a snapshot. */
#include "core/queries/service.h"

#include <algorithm>
#include <utility>

namespace pollengrade {

namespace {

constexpr double hedge_quantile = 0.95; ///< the quantile of a shard's latency that hedges are timed by
constexpr double hedge_margin = 1.5;    ///< times the quantile: later than any reply without a fault

} // namespace

service::service(service_document document, object_version version, dispatcher& servers, holder_count holders)
    : document_{std::move(document)}, version_{version}, servers_{servers}, holders_{holders},
      budget_{document_.extra_load_percent, document_.extra_load_burst} {}

bool service::apply(service_document document, object_version version) {
    if (version <= version_)
        return false;
    document_ = std::move(document);
    version_ = version;
    budget_.set_limits(document_.extra_load_percent, document_.extra_load_burst);
    publish_limits();
    return true;
}

bool service::apply_snapshots(std::vector<shard_map> maps, object_version version) {
    if (version <= snapshots_version_)
        return false;
    snapshots_.clear();
    for (shard_map& it : maps) {
        const index_version key = it.version;
        snapshots_[key] = std::make_shared<const shard_map>(std::move(it));
    }
    snapshots_version_ = version;
    publish_limits();
    return true;
}

void service::set_holders(holder_count holders) {
    if (holders == holders_)
        return;
    holders_ = holders;
    publish_limits();
}

void service::publish_limits() {
    // One share stays free for a node that this one does not know of yet.
    const std::uint32_t share = document_.connections_per_server / (holders_.value() + 1);
    const upstream_limits limits{std::max(1U, share), document_.slots_per_server, document_.queue_per_server};
    for (const auto& [version, map] : snapshots_) {
        for (const shard_entry& shard : map->shards) {
            for (const upstream_address& it : shard.replicas)
                servers_.set_limits(it, limits);
        }
    }
}

std::size_t service::usable_shards(const shard_map& map) const {
    return static_cast<std::size_t>(
        std::count_if(map.shards.begin(), map.shards.end(), [&](const shard_entry& it) {
            return servers_.expected_wait(it.replicas).has_value();
        }));
}

shard_map_ptr service::pin(std::optional<index_version> excluded) const {
    shard_map_ptr best;
    std::size_t best_missing = 0;
    // NOLINTNEXTLINE(modernize-loop-convert): from the newest to the oldest
    for (auto it = snapshots_.rbegin(); it != snapshots_.rend(); ++it) {
        if (it->first == excluded)
            continue;
        const std::size_t missing = it->second->shards.size() - usable_shards(*it->second);
        if (!best || missing < best_missing) {
            best = it->second;
            best_missing = missing;
        }
        if (best_missing == 0)
            break;
    }
    return best;
}

void service::add_latency(shard_id shard, duration latency) {
    tails_.try_emplace(shard, hedge_quantile).first->second.add(latency);
}

duration service::hedge_delay(shard_id shard) const {
    const auto it = tails_.find(shard);
    if (it == tails_.end())
        return document_.hedge_min_delay;
    const auto due =
        static_cast<duration::rep>(static_cast<double>(it->second.value().count()) * hedge_margin);
    return std::max(document_.hedge_min_delay, duration{due});
}

} // namespace pollengrade
