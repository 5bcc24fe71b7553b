/** @file departure_checks.h Checks that nothing reaches servers that leave, from what they have logged. */
#pragma once

#include <vector>

#include "result_checks.h"

namespace pollengrade {

/**
 * Adds the requests that reached a server too late, by two rules:
 *
 * - by its answers: sent by a caller later than drain_time after a node passed on an answer in which the
 * server stated that it leaves, and sent on by that node. Only an end or a freeze of the node excuses it.
 * - by the store: run later than drain_time after the store acknowledged that the server drains or is gone,
 * taken and sent on by nodes to which nothing was done, while the store was undisturbed.
 */
void check_departures(const soak_results& all, std::vector<violation>& out);

} // namespace pollengrade
