/** @file service.h One service: its document, its snapshots, and what traffic has taught about it. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/base/id_type.h"
#include "core/config/service_document.h"
#include "core/upstreams/dispatcher.h"
#include "core/upstreams/retry_budget.h"
#include "core/upstreams/shard_type.h"

namespace pollengrade {

/** How many nodes share the connections of each server. */
using holder_count = strong_type<struct holder_count_tag, std::uint32_t>;

/** One service on this node. */
class service {
public:
    /**
     * @param document the document in force
     * @param version the platform's version of it
     * @param servers where the service's servers are made known
     * @param holders nodes that share each server's connections
     */
    service(service_document document, object_version version, dispatcher& servers, holder_count holders);

    [[nodiscard]] const service_document& document() const noexcept { return document_; }
    [[nodiscard]] object_version version() const noexcept { return version_; }
    [[nodiscard]] retry_budget& budget() noexcept { return budget_; }
    [[nodiscard]] const std::map<index_version, shard_map_ptr>& snapshots() const noexcept {
        return snapshots_;
    }
    [[nodiscard]] object_version snapshots_version() const noexcept { return snapshots_version_; }

    /**
     * Takes a later document; a document of the same or a lower version changes nothing.
     * @return whether it is in force now
     */
    bool apply(service_document document, object_version version);

    /**
     * Takes a later set of snapshots; the same rule as for apply().
     * @return whether it is in force now
     */
    bool apply_snapshots(std::vector<shard_map> maps, object_version version);

    /** Takes the number of nodes that share each server's connections. */
    void set_holders(holder_count holders);

    /**
     * Pins a snapshot for a query: the newest of which every shard has a usable server, else the newest of
     * which most shards have one.
     * @param excluded a snapshot found to be retired
     */
    [[nodiscard]] shard_map_ptr pin(std::optional<index_version> excluded) const;

    /** @return the replica set of a shard's servers. */
    [[nodiscard]] static replica_set_name set_of(const shard_entry& shard);

private:
    void publish_limits();
    [[nodiscard]] std::size_t usable_shards(const shard_map& map) const;

    service_document document_;                        ///< the document in force
    object_version version_;                           ///< its version
    dispatcher& servers_;                              ///< all servers
    holder_count holders_;                             ///< nodes that share each server
    retry_budget budget_;                              ///< bound on hedges and retries
    std::map<index_version, shard_map_ptr> snapshots_; ///< by version
    object_version snapshots_version_;                 ///< the platform's version of them
};

} // namespace pollengrade
