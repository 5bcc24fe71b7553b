/** @file service.h One service: its document, its snapshots and its retry budget. */
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

/** Number of nodes that share the connections of each server. */
using holder_count = strong_type<struct holder_count_tag, std::uint32_t>;

/** A service as configured on this node. */
class service {
public:
    /**
     * @param document the document in force
     * @param version the platform's version of the document
     * @param servers dispatcher that the service's servers are added to
     * @param holders number of nodes that share each server's connections
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
     * Puts a newer document in force; a document of the same or an older version is ignored.
     * @return whether it is in force now
     */
    bool apply(service_document document, object_version version);

    /**
     * Puts a newer set of snapshots in force; versions are compared as in apply().
     * @return whether it is in force now
     */
    bool apply_snapshots(std::vector<shard_map> maps, object_version version);

    /** Sets the number of nodes that share each server's connections. */
    void set_holders(holder_count holders);

    /**
     * Chooses the snapshot for a query: the newest in which every shard has a usable server, otherwise the
     * newest of those with the fewest shards without one.
     * @param excluded version of a retired snapshot to skip
     * @return the snapshot; null if there is none
     */
    [[nodiscard]] shard_map_ptr pin(std::optional<index_version> excluded) const;

    /** @return name of the replica set of a shard's servers. */
    [[nodiscard]] static replica_set_name set_of(const shard_entry& shard);

private:
    void publish_limits();
    [[nodiscard]] std::size_t usable_shards(const shard_map& map) const;

    service_document document_;                        ///< the document in force
    object_version version_;                           ///< its version
    dispatcher& servers_;                              ///< dispatcher of all servers
    holder_count holders_;                             ///< number of nodes that share each server
    retry_budget budget_;                              ///< limit on hedges and retries
    std::map<index_version, shard_map_ptr> snapshots_; ///< by version
    object_version snapshots_version_;                 ///< the platform's version of the snapshots
};

} // namespace pollengrade
