/** @file retry_choice.h Whether failed shards of a query are worth extra requests. */
#pragma once

#include <cstddef>

namespace pollengrade {

/** The state of a query whose shards have failed. */
struct retry_inputs {
    std::size_t shards = 1;  ///< shards of the query
    std::size_t failed = 0;  ///< shards that would be asked again
    std::size_t needed = 0;  ///< how many of these the answer requires; 0 if it has enough without them
    double success_rate = 1; ///< share of extra requests that succeeded lately, 0 to 1
    double budget_left = 1;  ///< share of the extra requests allowed in a window that is left, 0 to 1
};

/** @return the probability that at least @p wanted of @p tries succeed, each with probability @p each. */
[[nodiscard]] double chance_of(std::size_t wanted, std::size_t tries, double each);

/**
 * Designed for servers that refuse a large share of their load, so that far more shards fail than the budget
 * of extra requests covers. Retries of queries that still fail are lost, so what is left goes to the queries
 * that need the fewest.
 * @return whether the failed shards are asked again: the gain for each extra request exceeds a price that
 * rises as the budget runs out
 */
[[nodiscard]] bool is_retry_worthwhile(const retry_inputs& it);

} // namespace pollengrade
