/** @file server_pool.h Binds what the registry and the routes say to the dispatcher's servers. */
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

/** Which nodes share what a server takes from all. */
enum class sharing_form : std::uint8_t {
    all_nodes, ///< every node that runs: more may join at any moment
    few,       ///< nodes that all others pick alike: only a change of the pick adds to them
};

/** @return the number of nodes to share with: a few more than those known to share. */
[[nodiscard]] std::uint32_t assumed_nodes(std::uint32_t nodes, sharing_form form);

/**
 * Load it answers: servers take few connections from all nodes together, and nodes come and go.
 * @param max_connections that one server takes from all nodes
 * @param nodes known to share them, this one included
 * @param form which these are
 * @return one node's share: some are left for nodes that this one does not know of; at least 1
 */
[[nodiscard]] std::uint32_t connection_share(std::uint32_t max_connections, std::uint32_t nodes,
                                             sharing_form form);

/**
 * Load it answers: all nodes lose power at once and come back, while servers still count their old
 * connections.
 * @return the share of a node that has just started: what all shares leave; at least 1
 */
[[nodiscard]] std::uint32_t connection_share_after_start(std::uint32_t max_connections, std::uint32_t nodes,
                                                         sharing_form form);

/** @return the replica set of a service's servers. */
[[nodiscard]] replica_set_name set_of(const service_name& service);

/** Which nodes connect to the servers of a service. */
struct connection_plan {
    std::uint32_t nodes = 1; ///< that share the servers' connections, this one included
    bool is_kept = true;     ///< whether this node keeps connections to them; else it opens them when needed
    sharing_form form = sharing_form::all_nodes; ///< which nodes these are
};

/** The servers of routed services. */
class server_pool {
public:
    /**
     * @param timers the clock
     * @param servers what is told
     * @param plan which nodes connect to a service's servers
     */
    server_pool(timer_queue& timers, dispatcher& servers,
                std::function<connection_plan(const service_name&)> plan);

    /** Takes a change of the registry. @return whether it changed where servers stand */
    bool on_entry(const server_entry& entry, bool removed);
    /** Takes routes that are in force now: they say what a server takes. */
    void on_routes(const route_table& table);
    /** Takes that other nodes may share the connections now. */
    void on_plan_changed() { publish_all(); }
    /** Takes that nodes were learned of: more may follow. */
    void on_nodes_changed();

    /** @return where the servers stand that have not left. */
    [[nodiscard]] servers_by_domain places() const;

private:
    void publish(const server_entry& entry);
    void publish_all();
    void publish_set(const service_name& service);
    void await_settling();

    timer_queue& timers_;                                      ///< the clock
    dispatcher& servers_;                                      ///< what is told
    std::map<upstream_id, server_entry> entries_;              ///< of servers that have not left
    std::map<service_name, std::vector<upstream_id>> members_; ///< the same by service
    std::map<service_name, std::uint32_t> max_connections_;    ///< of each described service
    std::function<connection_plan(const service_name&)> plan_; ///< see server_pool()
    time_point started_;                                       ///< when this node started
    std::optional<timer_id> settled_;                          ///< pending end of settling
    bool settling_ = true;                                     ///< few other nodes may be known yet
    bool just_started_ = true;                                 ///< see connection_share_after_start()
};

} // namespace pollengrade
