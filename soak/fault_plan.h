/** @file fault_plan.h Generates the schedule of faults of a soak run from the seed. */
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "soak_type.h"

namespace pollengrade {

/** Kinds of faults. */
enum class fault_kind : std::uint8_t {
    node_paused,      ///< a node's process is suspended and resumed
    node_killed,      ///< a node's process is killed and restarted
    node_stopped,     ///< a node is stopped gracefully by SIGTERM and restarted
    nodes_stopped,    ///< all nodes but one are stopped gracefully, one after the other
    node_reloaded,    ///< a node reloads its settings on SIGHUP
    nodes_killed,     ///< all nodes' processes but one are killed at the same time
    all_nodes_killed, ///< all nodes' processes are killed at the same time
    servers_paused,   ///< the process with one replica of every service is suspended and resumed
    servers_killed,   ///< the process with one replica of every service is killed and restarted with new IDs
    servers_drained,  ///< one replica's servers drain gracefully and exit
    servers_frozen,   ///< one server accepts requests and does not reply
    servers_shedding, ///< one server rejects requests without running them
    servers_dropping, ///< one server runs requests and closes the connection without a reply
    servers_misanswering,     ///< one server replies with the ID of another request
    servers_cutting_heads,    ///< one server runs requests, sends half of a reply's head and closes
    servers_breaking_replies, ///< one server runs requests and sends bytes that are no reply, or have no end
    servers_pausing,          ///< one server rejects requests and asks for a long pause
    servers_leaving,     ///< one replica's servers state that they leave, though their entries read ready
    servers_removed,     ///< one replica's entries are removed without a word before, and its servers go on
                         ///< serving
    servers_slow,        ///< one server takes ten times the usual service time
    servers_silent,      ///< open connections to one replica's servers permanently stop carrying data
    servers_reset,       ///< connections to one replica's servers are reset
    servers_cut,         ///< no data passes to or from one replica's servers
    callers_delayed,     ///< the links between a node and its callers are delayed
    callers_reset,       ///< a node's connections from callers are reset
    store_link_cut,      ///< a node cannot reach the store
    store_link_one_way,  ///< a node receives no data from the store
    store_link_delayed,  ///< the link between a node and the store is delayed
    store_link_silent,   ///< a node's open connections to the store permanently stop carrying data
    store_paused,        ///< the store's process is suspended and resumed
    store_down,          ///< the store refuses calls
    store_silent,        ///< the store accepts calls and does not reply
    store_loses_replies, ///< the store executes writes but does not reply
    store_loses_calls,   ///< the store closes connections when it receives calls
    store_forgets,       ///< the store loses its change history
    version_written,     ///< the operator writes the next version
    callers_crowding,    ///< a crowd of clients that misbehave connects to a node; drawn by add_crowds()
    entry_odd,           ///< another writer's entry is not JSON; drawn by add_odd_entries()
    node_left_alone,     ///< all nodes but one are lost for some seconds, and that one restarts; drawn by
                         ///< add_lone_node()
};

inline constexpr std::size_t fault_kinds = static_cast<std::size_t>(fault_kind::node_left_alone) + 1;

/** @return the name that is printed in logs. */
[[nodiscard]] std::string_view to_string(fault_kind it);

/** One scheduled fault. */
struct planned_fault {
    duration at{};     ///< time since the schedule was started
    duration length{}; ///< duration of the fault, if its kind has one
    fault_kind kind{};
    std::uint32_t target = 0;  ///< node or replica, depending on the kind
    std::uint32_t service = 0; ///< for faults of one server
};

/**
 * Generates single, repeated and overlapping faults at random times.
 * @param random seeded random numbers
 * @param config sizes and duration of the run
 * @return the faults ordered by time; all end within config.fault_duration
 */
[[nodiscard]] std::vector<planned_fault> generate_faults(const std::function<std::uint64_t()>& random,
                                                         const soak_config& config);

/** Adds crowds to a plan whose seed plays them; the other faults stay as they are. A run without time for
 * faults gets none. */
void add_crowds(std::vector<planned_fault>& plan, const std::function<std::uint64_t()>& random,
                const soak_config& config);
/** Adds the loss of all nodes but one to a plan whose seed plays it, drawn apart like odd entries. */
void add_lone_node(std::vector<planned_fault>& plan, const std::function<std::uint64_t()>& random,
                   const soak_config& config);
/** Adds entries of another writer that are not JSON, drawn apart from the faults of generate_faults(). */
void add_odd_entries(std::vector<planned_fault>& plan, const std::function<std::uint64_t()>& random,
                     const soak_config& config);

} // namespace pollengrade
