/** @file route_table.h Immutable, validated table of all routes of one version. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "core/config/route_type.h"

namespace pollengrade {

/** Reasons to reject a set of routes. */
enum class route_error : std::uint8_t {
    unreadable,        ///< the object does not have the documented format
    bad_prefix,        ///< a path prefix does not begin and end with a slash
    no_destination,    ///< a route has no destination
    two_destinations,  ///< a route has both weighted destinations and shards
    unknown_service,   ///< a route refers to a service that is not defined
    bad_weight,        ///< all weights of a route are zero
    not_idempotent,    ///< a gather is not idempotent
    bad_share,         ///< a gather keeps no records, or its min_shard_ratio is outside of 0 to 1
    bad_limit,         ///< a timeout, limit or count is not positive
    duplicate_route,   ///< two routes have the same host and prefix
    duplicate_service, ///< a service is defined twice
};

/** @return the name used in logs. */
[[nodiscard]] std::string_view to_string(route_error it);

/** Contents of a route table before validation. */
struct route_table_parts {
    object_version version;              ///< version of the routes, which rises with each change
    std::vector<route> routes;           ///< routes in any order
    std::vector<route_service> services; ///< services in any order
    route_limits limits;                 ///< limits on callers' requests
};

/** Validated routes of one version, with lookup by host and path. */
class route_table {
public:
    /** @return the table, or the first error found in @p parts. */
    static tl::expected<std::shared_ptr<const route_table>, route_error> make(route_table_parts parts);

    [[nodiscard]] object_version version() const noexcept { return parts_.version; }
    [[nodiscard]] const route_limits& limits() const noexcept { return parts_.limits; }
    [[nodiscard]] const std::vector<route>& routes() const noexcept { return parts_.routes; }
    /** @return the defined services, by name. */
    [[nodiscard]] const std::map<service_name, route_service>& services() const noexcept { return services_; }

    /**
     * @param host host as the caller sent it; case and port are ignored
     * @param path path without the query string
     * @return the route with the longest prefix of @p path, or null if none matches
     */
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

private:
    explicit route_table(route_table_parts parts) : parts_{std::move(parts)} {}

    route_table_parts parts_;                        ///< the validated contents
    std::map<service_name, route_service> services_; ///< services by name
    std::unordered_map<std::string, std::vector<std::size_t>>
        by_host_; ///< indexes of routes, longest prefix first
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace pollengrade
