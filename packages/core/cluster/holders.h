/** @file holders.h Picks the nodes that hold the connections to servers on behalf of all nodes. */
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
 * Decides whether only some nodes, the holders, connect to the servers. Designed for hundreds of nodes that
 * use servers with a limit of tens of connections, and for many nodes that each receive few queries of many
 * shards. A node with fewer than two connections to each server runs one query at a time; a node that rarely
 * uses its connections finds them closed and collects too few samples about each server.
 * @param max_connections maximum number of connections that one server accepts from all nodes
 * @param nodes number of running nodes
 * @param holders number of holders that would be picked
 * @return whether holders are needed
 */
[[nodiscard]] bool needs_holders(std::uint32_t max_connections, std::size_t nodes, std::size_t holders);

/**
 * @param max_connections maximum number of connections that one server accepts from all nodes
 * @return how many nodes, at least one, may hold connections to the server such that each has enough for the
 * queries of many nodes
 */
[[nodiscard]] std::size_t max_holders(std::uint32_t max_connections);

/**
 * Picks holders evenly across the failure domains. Within a domain, the VMs with the most capacity are
 * picked first, and of equal ones those with the highest rendezvous hash, so that different groups of shards
 * get different holders and nodes with the same view pick the same ones. Small VMs take long to send queries
 * of a hundred shards: a domain has two holders, and more until they have half a core together.
 * @param group name of the group of shards
 * @param nodes the candidates
 * @param limit maximum number of holders
 * @return at most @p limit nodes
 */
[[nodiscard]] std::vector<node_address> pick_holders(std::string_view group, std::span<const member> nodes,
                                                     std::size_t limit);

/**
 * Chooses the failure domains that holders are picked from. Traffic between failure domains is charged for:
 * a holder near the servers receives the replies of all shards within its domain and sends only the merged
 * answer to another domain. Server losses that affect all domains equally move no holders.
 * @param shards queried together
 * @param places failure domains of all servers
 * @param nodes the candidates
 * @return the domains with servers of at least half as many shards as the best domain, and at least two
 * domains if more than one has servers; all domains with nodes if none of them has a known server
 */
[[nodiscard]] std::set<failure_domain> domains_near_servers(std::span<const service_name> shards,
                                                            const servers_by_domain& places,
                                                            std::span<const member> nodes);

/**
 * The holders of every gather route, in this node's view. Nodes whose views differ may pick different
 * holders, which costs connections.
 */
class holder_table {
public:
    /** @param self this node */
    explicit holder_table(node_address self) : self_{std::move(self)} {}

    /**
     * Recomputes the holders. A group for which no node can be picked has none, so that this node connects to
     * its servers and watches the store itself.
     * @param routes the routes in force; null for none
     * @param nodes the running nodes, including this node; empty until they are known
     * @param places failure domains of the known servers
     */
    void update(const route_table_ptr& routes, std::span<const member> nodes,
                const servers_by_domain& places);

    /** @return the holders of a gather route's shards; empty if every node connects to them. */
    [[nodiscard]] std::span<const node_address> holders_of(const route& via) const;
    /**
     * If any group has holders, only holders connect to a service that no route names: the shards of a
     * resharded index are configured before routes name them, and remain configured for a while after no
     * route names them.
     * @return whether this node keeps connections to the servers of a service
     */
    [[nodiscard]] bool holds(const service_name& service) const;
    /** @return number of nodes that share the connections to a service's servers. */
    [[nodiscard]] std::uint32_t sharing_nodes(const service_name& service) const;
    /** @return whether only holders, which all nodes pick alike, connect to the service. */
    [[nodiscard]] bool is_held_by_selected_nodes(const service_name& service) const {
        return is_divided() && !shared_by_all_.contains(service);
    }
    /** @return whether any group has holders; only holders then watch the platform's store. */
    [[nodiscard]] bool is_divided() const noexcept { return !groups_.empty(); }
    /** @return the holders of all groups. */
    [[nodiscard]] std::vector<node_address> all_holders() const;
    /** @return whether this node is a holder of any group; true if no group has holders. */
    [[nodiscard]] bool is_holder() const;

private:
    /** Holders of a set of shards that are queried together. */
    struct group {
        std::vector<node_address> holders;
        bool has_self = false;
    };

    node_address self_;                                 ///< this node
    std::uint32_t nodes_ = 1;                           ///< number of running nodes
    std::map<std::vector<service_name>, group> groups_; ///< groups with holders, by their shards
    std::map<service_name, std::vector<service_name>>
        group_of_;                         ///< shards of the group of each service in groups_
    std::set<service_name> shared_by_all_; ///< services that every node connects to
};

} // namespace pollengrade
