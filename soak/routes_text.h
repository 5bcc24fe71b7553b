/** @file routes_text.h Names, paths and JSON object of the routes used in the soak. */
#pragma once

#include <string>

#include "platform/wire_names.h"
#include "soak_type.h"

namespace pollengrade {

inline constexpr const char* routes_host = "soak.example";

// Services by route; each version lists the shards of the gather route itself.
inline constexpr std::uint32_t lookup_service = 6;
inline constexpr std::uint32_t order_service = 7;
inline constexpr std::uint32_t versioned_service = 6;

/** @return the path prefix of a route; only that of route_kind::versioned depends on the version. */
[[nodiscard]] inline std::string path_of(route_kind kind, std::uint64_t version) {
    switch (kind) {
    case route_kind::gather:
        return "/gather/";
    case route_kind::lookup:
        return "/lookup/";
    case route_kind::order:
        return "/order/";
    case route_kind::versioned:
        break;
    }
    return "/v" + std::to_string(version) + "/";
}

/**
 * @param revision of the object that it replaces; 0 leaves it out
 * @param max_connections that each server accepts from all nodes
 * @return the JSON object of a version
 */
[[nodiscard]] std::string routes_object(const route_version& version, std::uint64_t revision,
                                        std::uint32_t max_connections);

} // namespace pollengrade
