/** @file route_table.cpp Validation and lookup of routes. */
#include "core/config/route_table.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace pollengrade {

namespace {

std::string host_key(std::string_view host) {
    std::string key{host.substr(0, host.find(':'))};
    std::transform(key.begin(), key.end(), key.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return key;
}

bool is_valid_prefix(std::string_view it) {
    return !it.empty() && it.front() == '/' && it.back() == '/';
}

std::optional<route_error> destination_error(const route& it,
                                             const std::map<service_name, route_service>& services) {
    if (it.destinations.empty() && it.shards.empty())
        return route_error::no_destination;
    if (!it.destinations.empty() && !it.shards.empty())
        return route_error::two_destinations;
    std::uint64_t weight = 0;
    for (const weighted_service& destination : it.destinations) {
        weight += destination.weight;
        if (!services.contains(destination.name))
            return route_error::unknown_service;
    }
    if (!it.destinations.empty() && weight == 0)
        return route_error::bad_weight;
    const bool all_known = std::all_of(it.shards.begin(), it.shards.end(),
                                       [&](const service_name& name) { return services.contains(name); });
    if (!all_known)
        return route_error::unknown_service;
    if (it.is_gather() && !it.is_idempotent)
        return route_error::not_idempotent;
    return std::nullopt;
}

std::optional<route_error> limits_error(const route& it) {
    if (!is_valid_prefix(it.prefix))
        return route_error::bad_prefix;
    if (it.timeout.count() <= 0 || it.max_attempts == 0)
        return route_error::bad_limit;
    if (it.is_gather() && (it.max_records == 0 || it.min_shard_ratio < 0 || it.min_shard_ratio > 1))
        return route_error::bad_share;
    return std::nullopt;
}

} // namespace

std::string_view to_string(route_error it) {
    constexpr std::array<std::string_view, 11> names{"unreadable",       "bad_prefix",       "no_destination",
                                                     "two_destinations", "unknown_service",  "bad_weight",
                                                     "not_idempotent",   "bad_share",        "bad_limit",
                                                     "duplicate_route",  "duplicate_service"};
    return names.at(static_cast<std::size_t>(it));
}

tl::expected<route_table_ptr, route_error> route_table::make(route_table_parts parts) {
    const route_limits& limits = parts.limits;
    if (limits.header_bytes == 0 || limits.header_timeout.count() <= 0 || limits.idle_timeout.count() <= 0)
        return tl::unexpected{route_error::bad_limit};
    const std::shared_ptr<route_table> table{new route_table{std::move(parts)}};
    for (const route_service& it : table->parts_.services) {
        if (!table->services_.emplace(it.name, it).second)
            return tl::unexpected{route_error::duplicate_service};
    }
    const std::vector<route>& routes = table->parts_.routes;
    for (std::size_t n = 0; n < routes.size(); ++n) {
        if (const auto ec = limits_error(routes[n]))
            return tl::unexpected{*ec};
        if (const auto ec = destination_error(routes[n], table->services_))
            return tl::unexpected{*ec};
        table->by_host_[host_key(routes[n].host)].push_back(n);
    }
    for (auto& [host, indexes] : table->by_host_) {
        std::sort(indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
            return std::pair{routes[b].prefix.size(), routes[a].prefix} <
                   std::pair{routes[a].prefix.size(), routes[b].prefix};
        });
        const auto duplicate =
            std::adjacent_find(indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
                return routes[a].prefix == routes[b].prefix;
            });
        if (duplicate != indexes.end())
            return tl::unexpected{route_error::duplicate_route};
    }
    return table;
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    const auto indexes = by_host_.find(host_key(host));
    if (indexes == by_host_.end())
        return nullptr;
    for (const std::size_t n : indexes->second) {
        if (path.starts_with(parts_.routes[n].prefix))
            return &parts_.routes[n];
    }
    return nullptr;
}

} // namespace pollengrade
