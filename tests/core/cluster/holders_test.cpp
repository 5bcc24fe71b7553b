/** @file holders_test.cpp Tests the placement of holders and its stability. */
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/cluster/holders.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t domains = 3;

member node_of(std::size_t index, std::uint32_t capacity = 1000) {
    member it;
    it.address = node_address{"127.0.0.1:" + std::to_string(9000 + index)};
    it.domain = failure_domain{"d" + std::to_string(index % domains)};
    it.capacity = capacity;
    return it;
}

std::vector<member> nodes_of(std::size_t count) {
    std::vector<member> nodes;
    for (std::size_t n = 0; n < count; ++n)
        nodes.push_back(node_of(n));
    return nodes;
}

/** @return a table with one gather route over shards with a connection limit, and services without a route.
 */
route_table_ptr table_of(std::uint64_t version, const std::vector<std::string>& shards,
                         std::uint32_t connections, const std::vector<std::string>& unnamed = {}) {
    route via;
    via.name = "search";
    via.host = "a.example";
    via.prefix = "/search/";
    via.is_idempotent = true;
    via.timeout = milliseconds{600};
    via.target = milliseconds{100};
    via.max_attempts = 2;
    via.max_records = 3;
    via.min_shard_ratio = 0.75;
    route_table_parts parts;
    parts.version = object_version{version};
    for (const std::string& it : shards) {
        via.shards.emplace_back(it);
        parts.services.push_back({service_name{it}, connections});
    }
    for (const std::string& it : unnamed)
        parts.services.push_back({service_name{it}, connections});
    parts.routes = {via};
    parts.limits = {1024, 1024, milliseconds{1000}, milliseconds{1000}};
    return route_table::make(std::move(parts)).value();
}

std::vector<node_address> holders_in(const holder_table& table, const route_table_ptr& routes) {
    const auto list = table.holders_of(routes->routes().front());
    return {list.begin(), list.end()};
}

} // namespace

TEST_CASE("holders: all nodes connect if there are few of them and servers accept enough connections") {
    CHECK_FALSE(needs_holders(16, 6, 4));
    CHECK(needs_holders(16, 7, 4));
    CHECK(needs_holders(16, 560, 4));
}

TEST_CASE("holders: many nodes need holders even if servers accept many connections") {
    CHECK_FALSE(needs_holders(2000, 11, 6));
    CHECK(needs_holders(2000, 12, 6));
    CHECK_FALSE(needs_holders(2000, 19, 10));
    CHECK(needs_holders(2000, 20, 10));
}

TEST_CASE("holders: picked near the servers, in at least two failure domains if servers are in two") {
    const auto nodes = nodes_of(30); // Three domains.
    const std::vector<service_name> shards{service_name{"s0"}, service_name{"s1"}, service_name{"s2"}};
    const failure_domain d0{"d0"};
    const failure_domain d1{"d1"};
    const failure_domain d2{"d2"};
    const failure_domain far{"without nodes"};
    servers_by_domain places;
    CHECK(domains_near_servers(shards, places, nodes) == std::set<failure_domain>{d0, d1, d2});
    for (const service_name& it : shards)
        places[it] = {{d0, 1}, {d2, 2}, {far, 9}};
    CHECK(domains_near_servers(shards, places, nodes) == std::set<failure_domain>{d0, d2});
    // The loss of one server of a domain does not move the holders; the loss of most of them does.
    places[shards[0]].erase(d2);
    CHECK(domains_near_servers(shards, places, nodes) == std::set<failure_domain>{d0, d2});
    places[shards[0]][d1] = 1;
    places[shards[1]] = {{d0, 1}, {d1, 1}};
    CHECK(domains_near_servers(shards, places, nodes) == std::set<failure_domain>{d0, d1});
    // Each shard has servers in two of three domains and a third of all servers is lost: no holder moves.
    places[shards[0]] = {{d0, 1}};
    places[shards[1]] = {{d1, 1}};
    places[shards[2]] = {{d1, 1}, {d2, 1}};
    CHECK(domains_near_servers(shards, places, nodes) == std::set<failure_domain>{d0, d1, d2});
    // All servers are in one domain; a second domain is added once it has any server.
    for (const service_name& it : shards)
        places[it] = {{d0, 3}};
    CHECK(domains_near_servers(shards, places, nodes) == std::set<failure_domain>{d0});
    places[shards[2]][d1] = 1;
    CHECK(domains_near_servers(shards, places, nodes) == std::set<failure_domain>{d0, d1});
}

TEST_CASE("holders: a table picks holders only in failure domains that have servers") {
    const auto nodes = nodes_of(60);
    const auto routes = table_of(1, {"s0", "s1"}, 500);
    servers_by_domain places;
    places[service_name{"s0"}] = {{failure_domain{"d0"}, 1}, {failure_domain{"d1"}, 1}};
    places[service_name{"s1"}] = {{failure_domain{"d0"}, 1}, {failure_domain{"d1"}, 1}};
    holder_table table{nodes.front().address};
    table.update(routes, nodes, places);
    const auto held = holders_in(table, routes);
    CHECK(held.size() == 4);
    for (const member& it : nodes) {
        if (std::find(held.begin(), held.end(), it.address) != held.end())
            CHECK(it.domain != failure_domain{"d2"});
    }
    CHECK(table.is_held_by_selected_nodes(service_name{"s0"}));
}

TEST_CASE("holders: two per failure domain, fewer if a server accepts too few connections") {
    const auto nodes = nodes_of(30);
    CHECK(pick_holders("search", nodes, max_holders(32)).size() == 6);
    CHECK(pick_holders("search", nodes, max_holders(16)).size() == 4);
    CHECK(pick_holders("search", nodes, max_holders(1)).size() == 1);
    const std::vector<member> one_domain{nodes[0], nodes[3], nodes[6]};
    CHECK(pick_holders("search", one_domain, max_holders(16)).size() == 2);
}

TEST_CASE("holders: domains of small VMs get more holders, up to the connection limit") {
    auto nodes = nodes_of(60);
    for (member& it : nodes)
        it.capacity = 120;
    CHECK(pick_holders("search", nodes, max_holders(400)).size() ==
          15); // Five per domain have half a core together.
    CHECK(pick_holders("search", nodes, max_holders(40)).size() == 10);
    nodes[0].capacity = 500;
    CHECK(pick_holders("search", nodes, max_holders(400)).size() == 12);
}

TEST_CASE("holders: spread evenly over failure domains, so that the loss of one domain leaves most") {
    const auto nodes = nodes_of(60);
    for (const char* group : {"search", "browse", "lookup"}) {
        std::map<failure_domain, std::size_t> in_domain;
        for (const node_address& at : pick_holders(group, nodes, 6)) {
            const auto it = std::find_if(nodes.begin(), nodes.end(),
                                         [&](const member& node) { return node.address == at; });
            REQUIRE(it != nodes.end());
            ++in_domain[it->domain];
        }
        CHECK(in_domain.size() == domains);
        for (const auto& [domain, count] : in_domain)
            CHECK(count == 2);
    }
}

TEST_CASE("holders: VMs with the most capacity come first, and groups differ among equal VMs") {
    auto nodes = nodes_of(30);
    nodes[4].capacity = 2000;
    nodes[8].capacity = 2000;
    const auto large = pick_holders("search", nodes, 6);
    CHECK(std::count(large.begin(), large.end(), nodes[4].address) == 1);
    CHECK(std::count(large.begin(), large.end(), nodes[8].address) == 1);

    std::set<node_address> seen;
    for (int n = 0; n < 20; ++n) {
        const auto picked = pick_holders("group " + std::to_string(n), nodes_of(30), 6);
        seen.insert(picked.begin(), picked.end());
    }
    // 20 groups of 6 holders each from 30 nodes: if groups did not differ, only 6 nodes would be picked.
    CHECK(seen.size() > 20);
}

TEST_CASE(
    "holders: the order of nodes does not matter, and the loss of one holder replaces only that holder") {
    auto nodes = nodes_of(40);
    const auto picked = pick_holders("search", nodes, 6);
    std::reverse(nodes.begin(), nodes.end());
    CHECK(pick_holders("search", nodes, 6) == picked);

    nodes.erase(std::find_if(nodes.begin(), nodes.end(),
                             [&](const member& it) { return it.address == picked.front(); }));
    const auto after = pick_holders("search", nodes, 6);
    std::size_t kept = 0;
    for (const node_address& it : after)
        kept += static_cast<std::size_t>(std::count(picked.begin(), picked.end(), it));
    CHECK(kept == 5);
}

TEST_CASE("holders: an index that is resharded under the same route name keeps its holders") {
    const auto nodes = nodes_of(40);
    holder_table table{nodes.front().address};
    const auto before = table_of(1, {"s0", "s1"}, 16);
    table.update(before, nodes, {});
    const auto held = holders_in(table, before);
    CHECK(table.is_divided());
    CHECK(held.size() == 4);
    CHECK(table.all_holders().size() == 4);

    const auto after = table_of(2, {"t0", "t1", "t2"}, 16);
    table.update(after, nodes, {});
    CHECK(holders_in(table, after) == held);
}

TEST_CASE("holders: only a holder connects, also to services that no route names yet") {
    const auto nodes = nodes_of(40);
    const auto routes = table_of(1, {"s0", "s1"}, 16);
    std::size_t holders = 0;
    for (const member& self : nodes) {
        holder_table table{self.address};
        CHECK(table.is_holder()); // Before routes are known, every node counts as a holder.
        table.update(routes, nodes, {});
        const auto held = holders_in(table, routes);
        const bool is_one = std::find(held.begin(), held.end(), self.address) != held.end();
        holders += is_one ? 1 : 0;
        CHECK(table.is_holder() == is_one);
        CHECK(table.holds(service_name{"s0"}) == is_one);
        CHECK(table.holds(service_name{"t0"}) == is_one);
        CHECK(table.sharing_nodes(service_name{"s0"}) == 4);
    }
    CHECK(holders == 4);
}

TEST_CASE(
    "holders: only a holder connects to services that are configured before or after a route names them") {
    // When an index is resharded, its new shards are configured before the route names them, and the old
    // shards remain configured for a while.
    const auto nodes = nodes_of(40);
    const auto before = table_of(1, {"s0", "s1"}, 16, {"t0", "t1", "t2"});
    const auto after = table_of(2, {"t0", "t1", "t2"}, 16, {"s0", "s1"});
    std::size_t connected_early = 0;
    std::size_t connected_late = 0;
    for (const member& self : nodes) {
        holder_table table{self.address};
        table.update(before, nodes, {});
        connected_early += table.holds(service_name{"t0"}) ? 1U : 0U;
        CHECK(table.sharing_nodes(service_name{"t0"}) == 4);
        table.update(after, nodes, {});
        connected_late += table.holds(service_name{"s0"}) ? 1U : 0U;
        CHECK(table.sharing_nodes(service_name{"s0"}) == 4);
    }
    CHECK(connected_early == 4);
    CHECK(connected_late == 4);
}

TEST_CASE("holders: every node connects to a service of a plain route, even if a gather route has holders") {
    const auto nodes = nodes_of(40);
    const auto routes = table_of(1, {"s0", "s1"}, 16, {"p"});
    route_table_parts parts;
    parts.version = object_version{2};
    parts.routes = routes->routes();
    route plain = parts.routes.front();
    plain.name = "plain";
    plain.prefix = "/plain/";
    plain.shards.clear();
    plain.destinations = {{service_name{"p"}, 1}};
    parts.routes.push_back(plain);
    for (const auto& [name, service] : routes->services())
        parts.services.push_back(service);
    parts.limits = routes->limits();
    const auto both = route_table::make(std::move(parts)).value();
    for (const member& self : nodes) {
        holder_table table{self.address};
        table.update(both, nodes, {});
        CHECK(table.holds(service_name{"p"}));
        CHECK(table.sharing_nodes(service_name{"p"}) == nodes.size());
    }
}

// CONFIG: a node that knew no node, not even itself, left all duties to holders that nobody was.
TEST_CASE("holders: a node that knows of no node connects to all servers and watches the store") {
    const auto routes = table_of(1, {"s1", "s2"}, 31, {"unnamed"});
    holder_table table{node_of(0).address};
    for (const std::vector<member>& nodes : {std::vector<member>{}, std::vector<member>{node_of(0)}}) {
        table.update(routes, nodes, {});
        CHECK_FALSE(table.is_divided());
        CHECK(table.is_holder());
        CHECK(holders_in(table, routes).empty());
        for (const char* service : {"s1", "s2", "unnamed"})
            CHECK(table.holds(service_name{service}));
        CHECK(table.sharing_nodes(service_name{"s1"}) == 1);
    }
}

TEST_CASE("holders: no holders are picked if every node has enough connections") {
    const auto nodes = nodes_of(6);
    const auto routes = table_of(1, {"s0", "s1"}, 16);
    holder_table table{nodes.front().address};
    table.update(routes, nodes, {});
    CHECK_FALSE(table.is_divided());
    CHECK(holders_in(table, routes).empty());
    CHECK(table.holds(service_name{"s0"}));
    CHECK(table.sharing_nodes(service_name{"s0"}) == 6);
}

} // namespace pollengrade
