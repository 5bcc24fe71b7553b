/** @file holders.h Which nodes hold the connections to servers that take fewer than there are nodes. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/id_type.h"
#include "core/cluster/member_type.h"
#include "core/config/route_table.h"
#include "core/config/server_entry.h"

namespace pollengrade {

/**
 * Load it answers: hundreds of nodes before servers that take tens of connections, and many nodes that each
 * see few queries of many shards. A node with less than two connections to each server serves one query at a
 * time; one that seldom uses its connections finds them closed, and learns too little of each server.
 * @param max_connections that one server takes from all nodes
 * @param nodes that are running
 * @param holders that there would be
 * @return whether only some nodes, the holders, are to connect to such servers
 */
[[nodiscard]] bool needs_holders(std::uint32_t max_connections, std::size_t nodes, std::size_t holders);

/**
 * @param max_connections that one server takes from all nodes
 * @return how many nodes may hold connections to such a server, each enough for the queries of many
 */
[[nodiscard]] std::size_t most_holders(std::uint32_t max_connections);

/**
 * Picks holders evenly over the failure domains; within one, the VMs of most capacity, and among equal ones
 * those of highest hash, so that groups of shards differ and nodes with the same view pick the same.
 * Load it answers: queries of a hundred shards, which small VMs take long to send: a domain has two holders,
 * and more until they have half a core together.
 * @param group names the shards
 * @param nodes the candidates
 * @param most how many to pick
 * @return at most @p most nodes
 */
[[nodiscard]] std::vector<node_address> pick_holders(std::string_view group, std::span<const member> nodes,
                                                     std::size_t most);

/**
 * Load it answers: replies of all shards of all queries, whose bytes between failure domains are paid for. A
 * holder beside the servers receives them within its domain and sends on the merged answer alone.
 * @param shards that are asked together
 * @param places of all servers
 * @param nodes the candidates
 * @return the failure domains that holders are picked from: those with servers of at least half as many
 * shards as the best one has, and never one alone where servers stand in more; all that have nodes when no
 * server is known. Losses that meet all domains alike move no holders.
 */
[[nodiscard]] std::set<failure_domain> domains_near(std::span<const service_name> shards,
                                                    const servers_by_domain& places,
                                                    std::span<const member> nodes);

/** The holders of every gather route, as this node sees them. Two nodes may differ; that costs connections.
 */
class holder_table {
public:
    /** @param self this node */
    explicit holder_table(node_address self) : self_{std::move(self)} {}

    /**
     * Computes the holders anew.
     * @param routes in force; null for none
     * @param nodes that are running, this one included
     * @param places of the servers known
     */
    void update(const route_table_ptr& routes, std::span<const member> nodes,
                const servers_by_domain& places);

    /** @return the holders of a gather route's shards; empty when every node holds them. */
    [[nodiscard]] std::span<const node_address> holders_of(const route& via) const;
    /**
     * @return whether this node keeps connections to the servers of a service. Where some groups are divided
     * and no route names the service, holders alone connect: an index that is cut anew is described before
     * its routes name it, and for a while after they do not any more.
     */
    [[nodiscard]] bool holds(const service_name& service) const;
    /** @return nodes that share the connections of a service's servers. */
    [[nodiscard]] std::uint32_t sharing(const service_name& service) const;
    /** @return whether these are holders: all nodes pick the same ones, and no others join. */
    [[nodiscard]] bool is_held_by_few(const service_name& service) const {
        return is_divided() && !shared_by_all_.contains(service);
    }
    /** @return whether only some nodes hold some connections; only these then watch the platform's store. */
    [[nodiscard]] bool is_divided() const noexcept { return !groups_.empty(); }
    /** @return the nodes that hold the connections of any group. */
    [[nodiscard]] std::vector<node_address> all_holders() const;
    /** @return whether this node holds the connections of any group, or all nodes do. */
    [[nodiscard]] bool is_holder() const;

private:
    /** Shards that are always asked together, and the nodes that hold their connections. */
    struct group {
        std::vector<node_address> holders;
        bool has_self = false;
    };

    node_address self_;                                          ///< this node
    std::uint32_t nodes_ = 1;                                    ///< nodes that are running
    std::map<std::vector<service_name>, group> groups_;          ///< by their shards
    std::map<service_name, std::vector<service_name>> group_of_; ///< of services that only holders connect to
    std::set<service_name> shared_by_all_;                       ///< services that every node connects to
};

} // namespace pollengrade
