/** @file holders.cpp Picks holders by capacity and rendezvous hashing. */
#include "core/cluster/holders.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace pollengrade {

namespace {

/** Connections that each node needs to one server; with fewer, a query waits for another. */
constexpr std::size_t min_connections_per_node = 2;
constexpr std::size_t min_holders_per_domain = 2; ///< one may fail, be paused or be restarted
/** Thousandths of a core that the holders of one domain have together, if its nodes have as much. */
constexpr std::uint32_t min_domain_capacity = 500;
constexpr std::size_t connections_per_holder = 4; ///< to one server, for the queries of many nodes
constexpr std::size_t reserved_nodes = 2;         ///< nodes that may connect because their view differs
/** At this many nodes per holder, the connections of most nodes would be idle. */
constexpr std::size_t nodes_per_holder = 2;
constexpr std::size_t min_domains = 2; ///< domains that holders are picked from; one may fail

std::uint64_t hash_of(std::string_view group, const node_address& node) {
    const std::string text = std::string{group} + '\0' + node.value();
    return XXH3_64bits(text.data(), text.size());
}

/**
 * @return the sets of shards that are queried together, each with the alphabetically first name of its
 * routes. Routes keep their names when an index is resharded, so the new shards get the holders of the old
 * ones.
 */
std::map<std::vector<service_name>, std::string> names_of_groups(const route_table& routes) {
    std::map<std::vector<service_name>, std::string> names;
    for (const route& via : routes.routes()) {
        if (!via.is_gather())
            continue;
        std::string& name = names[via.shards];
        if (name.empty() || via.name < name)
            name = via.name;
    }
    return names;
}

/** @return the services that any route names. */
std::set<service_name> named_services(const route_table& routes) {
    std::set<service_name> named;
    for (const route& via : routes.routes()) {
        named.insert(via.shards.begin(), via.shards.end());
        for (const weighted_service& it : via.destinations)
            named.insert(it.name);
    }
    return named;
}

} // namespace

bool needs_holders(std::uint32_t max_connections, std::size_t nodes, std::size_t holders) {
    return max_connections / (nodes + reserved_nodes) < min_connections_per_node ||
           nodes >= nodes_per_holder * holders;
}

std::size_t max_holders(std::uint32_t max_connections) {
    return std::max<std::size_t>(1, max_connections / connections_per_holder);
}

std::vector<node_address> pick_holders(std::string_view group, std::span<const member> nodes,
                                       std::size_t limit) {
    struct ranked {
        std::uint32_t capacity = 0;
        std::uint64_t hash = 0;
        node_address address;
    };
    std::map<failure_domain, std::vector<ranked>> by_domain;
    for (const member& it : nodes)
        by_domain[it.domain].push_back({it.capacity, hash_of(group, it.address), it.address});
    for (auto& [domain, list] : by_domain) {
        std::sort(list.begin(), list.end(), [](const ranked& a, const ranked& b) {
            return std::tie(b.capacity, b.hash, b.address) < std::tie(a.capacity, a.hash, a.address);
        });
        // Keeps as many nodes as are needed for the minimum capacity.
        std::uint32_t capacity = 0;
        std::size_t count = 0;
        while (count < list.size() && (count < min_holders_per_domain || capacity < min_domain_capacity))
            capacity += list[count++].capacity;
        list.resize(count);
    }
    std::vector<node_address> picked;
    for (std::size_t rank = 0; picked.size() < limit; ++rank) {
        const std::size_t before = picked.size();
        for (const auto& [domain, list] : by_domain) {
            if (rank < list.size() && picked.size() < limit)
                picked.push_back(list[rank].address);
        }
        if (picked.size() == before)
            break; // All candidates are picked.
    }
    return picked;
}

std::set<failure_domain> domains_near_servers(std::span<const service_name> shards,
                                              const servers_by_domain& places,
                                              std::span<const member> nodes) {
    std::map<failure_domain, std::size_t> shards_in; // For domains that have nodes.
    for (const member& it : nodes)
        shards_in[it.domain] = 0;
    for (const service_name& shard : shards) {
        const auto known = places.find(shard);
        if (known == places.end())
            continue;
        for (const auto& [domain, servers] : known->second) {
            if (const auto it = shards_in.find(domain); it != shards_in.end())
                ++it->second;
        }
    }
    std::vector<std::pair<failure_domain, std::size_t>> ranked{shards_in.begin(), shards_in.end()};
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.second > b.second; });
    std::set<failure_domain> near;
    for (const auto& [domain, count] : ranked) {
        const bool is_near = count * 2 >= ranked.front().second;
        if (count > 0 && (is_near || near.size() < min_domains))
            near.insert(domain);
    }
    if (!near.empty())
        return near;
    for (const auto& [domain, count] : shards_in)
        near.insert(domain);
    return near;
}

void holder_table::update(const route_table_ptr& routes, std::span<const member> nodes,
                          const servers_by_domain& places) {
    groups_.clear();
    group_of_.clear();
    shared_by_all_.clear();
    nodes_ = static_cast<std::uint32_t>(std::max<std::size_t>(1, nodes.size()));
    if (!routes)
        return;
    for (const auto& [key, name] : names_of_groups(*routes)) {
        std::uint32_t connections = std::numeric_limits<std::uint32_t>::max();
        for (const service_name& it : key)
            connections = std::min(connections, routes->services().at(it).max_connections);
        const std::set<failure_domain> near = domains_near_servers(key, places, nodes);
        std::vector<member> candidates;
        std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(candidates),
                     [&near](const member& it) { return near.contains(it.domain); });
        auto picked = pick_holders(name, candidates, max_holders(connections));
        // While no node is known that could hold the connections, this node does.
        if (picked.empty() || !needs_holders(connections, nodes.size(), picked.size()))
            continue;
        group& it = groups_[key];
        it.holders = std::move(picked);
        it.has_self = std::find(it.holders.begin(), it.holders.end(), self_) != it.holders.end();
        for (const service_name& service : key)
            group_of_[service] = key;
    }
    const std::set<service_name> named = named_services(*routes);
    for (const auto& [name, service] : routes->services()) {
        if (!group_of_.contains(name) && (named.contains(name) || groups_.empty()))
            shared_by_all_.insert(name);
    }
}

std::span<const node_address> holder_table::holders_of(const route& via) const {
    const auto it = groups_.find(via.shards);
    if (it == groups_.end())
        return {};
    return it->second.holders;
}

bool holder_table::holds(const service_name& service) const {
    if (const auto it = group_of_.find(service); it != group_of_.end())
        return groups_.at(it->second).has_self;
    return shared_by_all_.contains(service) || is_holder();
}

std::uint32_t holder_table::sharing_nodes(const service_name& service) const {
    if (const auto it = group_of_.find(service); it != group_of_.end())
        return static_cast<std::uint32_t>(groups_.at(it->second).holders.size());
    if (shared_by_all_.contains(service) || !is_divided())
        return nodes_;
    return static_cast<std::uint32_t>(all_holders().size());
}

std::vector<node_address> holder_table::all_holders() const {
    std::set<node_address> all;
    for (const auto& [key, it] : groups_)
        all.insert(it.holders.begin(), it.holders.end());
    return {all.begin(), all.end()};
}

bool holder_table::is_holder() const {
    return groups_.empty() ||
           std::any_of(groups_.begin(), groups_.end(), [](const auto& it) { return it.second.has_self; });
}

} // namespace pollengrade
