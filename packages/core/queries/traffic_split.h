/** @file traffic_split.h Chooses the service of a weighted route for the next request. */
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/config/route_type.h"

namespace pollengrade {

/**
 * Distributes each route's requests by smooth weighted round robin: after any number of requests each service
 * has received its share to within one request. A request does not move to another service for lack of
 * capacity.
 */
class traffic_split {
public:
    /**
     * @param route name of the route
     * @param services its services; different services or weights restart the distribution
     * @return the service for the next request
     * @pre @p services is not empty
     */
    const service_name& next(const std::string& route, std::span<const weighted_service> services);

private:
    struct rotation {
        std::vector<weighted_service> services; ///< services and weights of the route
        std::vector<std::int64_t> credit;       ///< accumulated weight of each service; the sum is zero
    };

    std::unordered_map<std::string, rotation> rotations_; ///< by name of the route
};

} // namespace pollengrade
