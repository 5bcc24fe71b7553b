/** @file traffic_split.cpp Smooth weighted round robin. */
#include "core/queries/traffic_split.h"

#include <algorithm>
#include <cassert>

namespace pollengrade {

const service_name& traffic_split::next(const std::string& route,
                                        std::span<const weighted_service> services) {
    assert(!services.empty());
    if (services.size() == 1)
        return services.front().name;
    rotation& it = rotations_[route];
    if (!std::equal(services.begin(), services.end(), it.services.begin(), it.services.end())) {
        it.services.assign(services.begin(), services.end());
        it.credit.assign(services.size(), 0);
    }
    std::int64_t total = 0;
    for (std::size_t n = 0; n < services.size(); ++n) {
        it.credit[n] += services[n].weight;
        total += services[n].weight;
    }
    const auto best = std::max_element(it.credit.begin(), it.credit.end());
    *best -= total;
    return services[static_cast<std::size_t>(best - it.credit.begin())].name;
}

} // namespace pollengrade
