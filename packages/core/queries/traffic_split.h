/** @file traffic_split.h Which service of a weighted route the next request goes to. */
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/config/route_type.h"

namespace pollengrade {

/**
 * Deals each route's requests out by smooth weighted round robin: after any number of requests each service
 * has had its share to within one request. No request is moved to another service for want of room.
 */
class traffic_split {
public:
    /**
     * @param route names the route
     * @param services its services; new ones or new weights start a new deal
     * @return the next service
     * @pre @p services is not empty
     */
    const service_name& next(const std::string& route, std::span<const weighted_service> services);

private:
    struct rotation {
        std::vector<weighted_service> services; ///< what is dealt out
        std::vector<std::int64_t> credit;       ///< of each service; they sum to zero
    };

    std::unordered_map<std::string, rotation> rotations_; ///< by route
};

} // namespace pollengrade
