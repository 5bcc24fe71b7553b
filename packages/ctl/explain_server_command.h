/** @file explain_server_command.h Explains from log lines who learned that a server leaves, and what was sent
 * to it. */
#pragma once

#include <string>
#include <vector>

#include "ctl/command_type.h"

namespace pollengrade {

/**
 * Prints, of the log lines of all nodes, what each node learned about a server, and from the first line that
 * says that it leaves, each request sent to it: by which node, and whether that node knew.
 * @param server ID of the server, as in log lines
 * @param files files with log lines; "-" for standard input
 * @return exit_code::negative if no line names the server
 */
exit_code explain_server(const command_context& context, const std::string& server,
                         const std::vector<std::string>& files);

} // namespace pollengrade
