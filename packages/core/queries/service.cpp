/** @file service.cpp Documents and snapshots in force, and the choice of a snapshot. */
#include "core/queries/service.h"

#include <algorithm>
#include <utility>

namespace pollengrade {

namespace {

/** @return limits on hedges and retries from a document. */
retry_budget_limits budget_of(const service_document& document) {
    constexpr double percent = 100;
    return {document.extra_load_percent / percent, static_cast<double>(document.extra_load_burst)};
}

/** @return ID of the server at an address; shard maps identify servers by address only. */
upstream_id id_of(const upstream_address& address) {
    return upstream_id{address.value()};
}

} // namespace

service::service(service_document document, object_version version, dispatcher& servers, holder_count holders)
    : document_{std::move(document)}, version_{version}, servers_{servers}, holders_{holders},
      budget_{budget_of(document_)} {}

bool service::apply(service_document document, object_version version) {
    if (version <= version_)
        return false;
    document_ = std::move(document);
    version_ = version;
    budget_.set_limits(budget_of(document_));
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
    // One share is reserved for a node that this node does not know yet.
    const std::uint32_t share = document_.connections_per_server / (holders_.value() + 1);
    const upstream_limits limits{std::max(1U, share), document_.slots_per_server};
    for (const auto& [version, map] : snapshots_) {
        for (const shard_entry& shard : map->shards) {
            std::vector<upstream_id> members;
            for (const upstream_address& it : shard.replicas) {
                members.push_back(id_of(it));
                servers_.put_server({members.back(), it, {}, {}}, limits);
            }
            servers_.set_members(set_of(shard), std::move(members), {document_.queue_per_server, 0});
        }
    }
}

replica_set_name service::set_of(const shard_entry& shard) {
    std::string name;
    for (const upstream_address& it : shard.replicas)
        name += (name.empty() ? "" : ",") + it.value();
    return replica_set_name{std::move(name)};
}

std::size_t service::usable_shards(const shard_map& map) const {
    return static_cast<std::size_t>(
        std::count_if(map.shards.begin(), map.shards.end(), [&](const shard_entry& it) {
            return servers_.expected_wait(set_of(it), {}).has_value();
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

} // namespace pollengrade
