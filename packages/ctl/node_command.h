/** @file node_command.h Commands that call nodes: status, timeline and queries. */
#pragma once

#include <string>

#include "core/upstreams/shard_type.h"
#include "ctl/command_type.h"

namespace pollengrade {

/** Adds every node that the nodes in @p context report as alive. */
void discover_nodes(command_context& context);

/** Prints the status of every node in @p context. */
exit_code show_status(const command_context& context);

/** Filters and output format of the timeline command. */
struct timeline_arguments {
    std::string request; ///< only events of this request; empty for all
    std::string subject; ///< only events of this service, server or node; empty for all
    bool trace = false;  ///< print JSON for trace viewers
};

/** Merges the event logs of all nodes in @p context into one causal order. */
exit_code show_timeline(const command_context& context, const timeline_arguments& arguments);

/** Sends one request to the listener for callers and prints the answer. */
exit_code run_query(const command_context& context, query_kind kind, const query_arguments& arguments);

} // namespace pollengrade
