/** @file explain_command.h Explains the outcome of a request from log lines. */
#pragma once

#include <string>
#include <vector>

#include "ctl/command_type.h"

namespace pollengrade {

/**
 * Merges the log lines of all nodes and prints the events that concern one request, in order, and the cause
 * of its outcome.
 * @param request the request ID
 * @param files files with log lines; "-" for standard input
 */
exit_code explain_request(const command_context& context, const std::string& request,
                          const std::vector<std::string>& files);

} // namespace pollengrade
