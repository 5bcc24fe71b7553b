/** @file retry_choice.cpp Expected gain of retries against their price. */
#include "core/queries/retry_choice.h"

#include <algorithm>
#include <cmath>

namespace pollengrade {

namespace {

/** Gain for which the last extra request of a window is spent; 1 is a query that is answered instead of
 * failed.
 */
constexpr double max_price = 1.0 / 3;
constexpr double price_exponent = 8; ///< the price stays low until the budget is nearly spent

double binomial(std::size_t n, std::size_t k) {
    double it = 1;
    for (std::size_t i = 1; i <= k; ++i)
        it *= static_cast<double>(n - k + i) / static_cast<double>(i);
    return it;
}

} // namespace

double chance_of(std::size_t wanted, std::size_t tries, double each) {
    double sum = 0;
    for (std::size_t n = wanted; n <= tries; ++n)
        sum += binomial(tries, n) * std::pow(each, static_cast<double>(n)) *
               std::pow(1 - each, static_cast<double>(tries - n));
    return sum;
}

bool is_retry_worthwhile(const retry_inputs& it) {
    if (it.needed > it.failed)
        return false;
    const auto failed = static_cast<double>(it.failed);
    // A caller values an answer by the square of its share of the shards.
    const double gain = it.needed > 0 ? chance_of(it.needed, it.failed, it.success_rate) / failed
                                      : 2 * it.success_rate / static_cast<double>(it.shards);
    return gain >= max_price * std::pow(1 - std::clamp(it.budget_left, 0.0, 1.0), price_exponent);
}

} // namespace pollengrade
