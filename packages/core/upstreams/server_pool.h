/** @file server_pool.h Configures the dispatcher's servers from the registry and the routes. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/base/timer_queue.h"
#include "core/config/route_table.h"
#include "core/config/server_entry.h"
#include "core/upstreams/dispatcher.h"

namespace pollengrade {

/** Which nodes share the connections that a server accepts. */
enum class sharing_scope : std::uint8_t {
    all_nodes,      ///< every running node; more may join at any moment
    selected_nodes, ///< a few nodes that all nodes select alike; others join only if the selection changes
};

/** @return the number of nodes to divide by: somewhat more than the @p nodes known to share. */
[[nodiscard]] std::uint32_t assumed_nodes(std::uint32_t nodes, sharing_scope scope);

/**
 * Divides a server's connections among nodes. Servers accept few connections in total, and nodes come and go.
 * @param max_connections connections that one server accepts from all nodes together
 * @param nodes number of nodes known to share them, this one included
 * @param scope which nodes these are
 * @return one node's share, which leaves some for nodes that this one does not know of; at least 1
 */
[[nodiscard]] std::uint32_t connection_share(std::uint32_t max_connections, std::uint32_t nodes,
                                             sharing_scope scope);

/**
 * Protects servers when all nodes lose power at once and restart while the servers still count the old
 * connections.
 * @return the share of a node that has just started, from the connections that all regular shares leave
 * unused; at least 1
 */
[[nodiscard]] std::uint32_t connection_share_after_start(std::uint32_t max_connections, std::uint32_t nodes,
                                                         sharing_scope scope);

/**
 * Counts the nodes among which a rate that servers state is divided. A node that no longer sees others cannot
 * tell whether they stopped or only lost contact with it and still send requests. So after the count has
 * fallen, a node's share grows only as far as the shares of two halves of a fleet that lost contact with each
 * other still add up to little more than the stated rate.
 */
class rate_sharing_count {
public:
    /** Records how many nodes are known to share. */
    void on_count(time_point now, std::uint32_t nodes);
    /** @return the number of nodes to divide by, at least 1. */
    [[nodiscard]] double value(time_point now) const;
    /** @return when value() may fall without another call of on_count(); nullopt for never. */
    [[nodiscard]] std::optional<time_point> falls_at() const;

private:
    std::uint32_t nodes_ = 0;  ///< the last count
    std::uint32_t before_ = 0; ///< the highest count before it fell
    time_point fell_at_{};     ///< when the count fell below before_
};

/** @return the name of the replica set of a service's servers. */
[[nodiscard]] replica_set_name set_of(const service_name& service);

/** How nodes connect to the servers of a service. */
struct connection_plan {
    std::uint32_t nodes = 1; ///< number of nodes that share the servers' connections, this one included
    bool keep_open = true;   ///< whether this node keeps connections open; otherwise it opens them on demand
    sharing_scope scope = sharing_scope::all_nodes; ///< which nodes these are
};

/** Keeps the dispatcher's servers of routed services up to date. */
class server_pool {
public:
    /**
     * @param timers the clock
     * @param servers the dispatcher to configure
     * @param plan returns how nodes connect to a service's servers
     */
    server_pool(timer_queue& timers, dispatcher& servers,
                std::function<connection_plan(const service_name&)> plan);

    /** Applies a change of the registry. @return whether a server was added, removed or moved */
    bool on_entry(const server_entry& entry, bool removed);
    /** Applies the routes now in force, which state how many connections a server accepts. */
    void on_routes(const route_table& table);
    /** Called when the nodes that share connections may have changed. */
    void on_plan_changed() { publish_all(); }
    /** Called when new nodes were discovered: extends the wait for the node list to settle. */
    void on_nodes_changed();

    /** @return number of servers by service and failure domain, without those that are leaving. */
    [[nodiscard]] servers_by_domain places() const;

private:
    void publish(const server_entry& entry);
    void publish_all();
    void publish_set(const service_name& service);
    /** @return the number of nodes that a rate stated by the servers of a service is divided by. */
    [[nodiscard]] double sharing_nodes(const service_name& service, const connection_plan& plan);
    void await_settling();

    timer_queue& timers_;                                      ///< the clock
    dispatcher& servers_;                                      ///< the dispatcher to configure
    std::map<upstream_id, server_entry> entries_;              ///< registered servers, by ID
    std::map<service_name, std::vector<upstream_id>> members_; ///< IDs of the same servers by service
    std::map<service_name, std::uint32_t> max_connections_;    ///< of each service that the routes describe
    std::function<connection_plan(const service_name&)> plan_; ///< see server_pool()
    std::map<service_name, rate_sharing_count> sharing_;       ///< by service
    time_point started_;                                       ///< when this node started
    std::optional<timer_id> settled_;                          ///< pending end of the settle time
    std::optional<timer_id> share_check_;                      ///< pending growth of shares of stated rates
    bool settling_ = true;                                     ///< whether other nodes may not be known yet
    bool just_started_ = true; ///< whether connection_share_after_start() applies
};

} // namespace pollengrade
