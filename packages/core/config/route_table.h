/** @file route_table.h One version of the routes: checked as a whole, then never changed. */
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

/** What is wrong with a set of routes. */
enum class route_error : std::uint8_t {
    unreadable,        ///< not the documented form
    bad_prefix,        ///< a path prefix without its slashes
    no_destination,    ///< a route to no service
    two_destinations,  ///< a route with more than one kind of destination
    unknown_service,   ///< a route to a service that is not described
    bad_weight,        ///< weights that are all zero
    not_idempotent,    ///< a gather whose requests must not run twice
    bad_share,         ///< a least share outside of 0 to 1
    bad_limit,         ///< a time-out, limit or count that is zero
    duplicate_route,   ///< two routes of one host and prefix
    duplicate_service, ///< one service described twice
};

/** @return the name used in logs. */
[[nodiscard]] std::string_view to_string(route_error it);

/** The parts of a route table, before they are checked. */
struct route_table_parts {
    object_version version;              ///< rises with every change
    std::vector<route> routes;           ///< in no order
    std::vector<route_service> services; ///< in no order
    route_limits limits;                 ///< what callers may send
};

/** The routes in force. */
class route_table {
public:
    /** @return the table, or the first thing wrong with its parts. */
    static tl::expected<std::shared_ptr<const route_table>, route_error> make(route_table_parts parts);

    [[nodiscard]] object_version version() const noexcept { return parts_.version; }
    [[nodiscard]] const route_limits& limits() const noexcept { return parts_.limits; }
    [[nodiscard]] const std::vector<route>& routes() const noexcept { return parts_.routes; }
    /** @return the described services, by name. */
    [[nodiscard]] const std::map<service_name, route_service>& services() const noexcept { return services_; }

    /**
     * @param host as the caller sent it: case and port do not count
     * @param path without a query
     * @return the route of the longest prefix that begins @p path; null when there is none
     */
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

private:
    explicit route_table(route_table_parts parts) : parts_{std::move(parts)} {}

    route_table_parts parts_;                                           ///< as they were checked
    std::map<service_name, route_service> services_;                    ///< by name
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_; ///< routes, longest prefix first
};

using route_table_ptr = std::shared_ptr<const route_table>;

} // namespace pollengrade
