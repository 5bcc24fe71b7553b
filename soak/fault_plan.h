/** @file fault_plan.h What is done to the programs of a soak run, when, and for how long: drawn from the
 * seed. */
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "soak_type.h"

namespace pollengrade {

/** Kinds of faults. */
enum class fault_kind : std::uint8_t {
    node_paused,          ///< a node's process is stopped and goes on
    node_killed,          ///< and started again
    node_stopped,         ///< by the signal for a graceful stop, and started again
    node_reloaded,        ///< by the signal to read its settings
    all_nodes_killed,     ///< at once
    servers_paused,       ///< one replica of every service
    servers_killed,       ///< and started again under new IDs
    servers_drained,      ///< they say so, and end
    servers_frozen,       ///< one service's servers of one replica take requests and do not answer
    servers_shedding,     ///< they refuse, having run nothing
    servers_dropping,     ///< they run requests and close
    servers_misanswering, ///< they echo another request's ID
    servers_slow,         ///< ten times the usual time
    servers_silent,       ///< connections to them that are open fall silent for good
    servers_reset,        ///< connections to them are reset
    servers_cut,          ///< nothing passes to or from them
    callers_delayed,      ///< a node's callers are far away
    callers_reset,        ///< a node's connections from callers are reset
    store_link_cut,       ///< a node cannot reach the store
    store_link_one_way,   ///< a node hears nothing from the store
    store_link_delayed,   ///< a node's calls to the store take long
    store_link_silent,    ///< a node's open connections to the store fall silent for good
    store_paused,         ///< the store's process is stopped and goes on
    store_down,           ///< it refuses calls
    store_silent,         ///< it takes calls and does not answer
    store_loses_replies,  ///< it carries writes out without a word
    store_loses_calls,    ///< it closes connections on calls
    store_forgets,        ///< its history is gone
    version_written,      ///< the operator writes the next version
};

inline constexpr std::size_t fault_kinds = static_cast<std::size_t>(fault_kind::version_written) + 1;

/** @return the name used in reports. */
[[nodiscard]] std::string_view to_string(fault_kind it);

/** One fault. */
struct planned_fault {
    duration at{};     ///< since the run's start
    duration length{}; ///< until it ends, where it has an end
    fault_kind kind{};
    std::uint32_t target = 0;  ///< node, replica or service, by kind
    std::uint32_t service = 0; ///< for faults of one service
};

/**
 * Draws faults that come singly, in series, and overlap.
 * @param random seeded random numbers
 * @param config the run
 * @return by time; all have ended by the world's span
 */
[[nodiscard]] std::vector<planned_fault> generate_faults(const std::function<std::uint64_t()>& random,
                                                         const soak_config& config);

} // namespace pollengrade
