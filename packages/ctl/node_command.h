/** @file node_command.h Commands that ask nodes: status, time line, queries. */
#pragma once

#include <string>

#include "core/upstreams/shard_type.h"
#include "ctl/command_type.h"

namespace pollengrade {

/** Adds to the nodes named every node that they know to be alive. */
void discover_nodes(command_context& context);

/** Prints the status of every node named. */
exit_code show_status(const command_context& context);

/** How to print a time line. */
struct timeline_arguments {
    std::string request; ///< only events of this request; empty for all
    std::string subject; ///< only events of this service, server or node; empty for all
    bool trace = false;  ///< print the JSON that trace viewers open
};

/** Merges the time lines of every node named into one causal order. */
exit_code show_timeline(const command_context& context, const timeline_arguments& arguments);

/** Runs one request against a node's front door and prints its answer. */
exit_code run_query(const command_context& context, query_kind kind, const query_arguments& arguments);

} // namespace pollengrade
