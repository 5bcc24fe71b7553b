/** @file explain_command.h From a request's ID to what became of it, by log lines alone. */
#pragma once

#include <string>
#include <vector>

#include "ctl/command_type.h"

namespace pollengrade {

/**
 * Merges the log lines of all nodes and prints what touched one request, in order, and why it ended so.
 * @param request the ID
 * @param files with log lines; "-" for standard input
 */
exit_code explain_request(const command_context& context, const std::string& request,
                          const std::vector<std::string>& files);

} // namespace pollengrade
