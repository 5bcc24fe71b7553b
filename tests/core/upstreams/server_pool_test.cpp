/** @file server_pool_test.cpp One node's share of the connections that servers accept from all nodes. */
#include <doctest/doctest.h>

#include "core/upstreams/server_pool.h"
#include "support/fake_network.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

server_entry entry_of(const std::string& name) {
    server_entry it;
    it.name = name;
    it.service = service_name{"s0"};
    it.address = upstream_address{"127.9.0.1:9000"};
    return it;
}

route_table_ptr table_with(std::uint32_t connections) {
    route_table_parts parts;
    parts.version = object_version{1};
    parts.services.push_back({service_name{"s0"}, connections});
    parts.limits = {1024, 1024, seconds{1}, seconds{1}};
    return route_table::make(std::move(parts)).value();
}

/** One of eight nodes that has just started, and a server that accepts 40 connections. */
struct started_pool {
    started_pool() {
        pool.on_routes(*table_with(40));
        pool.on_entry(entry_of("a"), false);
    }

    void pass(milliseconds span) { timers.advance_to(timers.now() + span); }
    upstream_limits limits() { return network.servers().find(id_of(entry_of("a")))->limits(); }

    timer_queue timers = paused_clock();
    fake_network network{timers};
    server_pool pool{timers, network.servers(), [](const service_name&) { return connection_plan{8, true}; }};
};

} // namespace

TEST_CASE("the shares of all nodes, with two spare ones, stay within a server's connections") {
    for (std::uint32_t connections = 20; connections <= 100; ++connections) {
        for (std::uint32_t nodes = 1; nodes <= 9; ++nodes) {
            const std::uint32_t share = connection_share(connections, nodes, sharing_scope::all_nodes);
            CHECK(share >= 1);
            if (share > 1)
                CHECK(share * (nodes + 2) <= connections);
        }
    }
}

TEST_CASE("selected nodes share nearly all connections of a server") {
    for (std::uint32_t nodes = 1; nodes <= 10; ++nodes) {
        for (const std::uint32_t each : {2U, 4U, 5U, 9U}) {
            const std::uint32_t connections = each * nodes;
            const std::uint32_t share = connection_share(connections, nodes, sharing_scope::selected_nodes);
            // A further quarter of the nodes may still have connections from an outdated node list.
            CHECK(share * (nodes + (nodes + 3) / 4) <= connections);
            CHECK(2 * share + 1 >= each);
        }
    }
    CHECK(connection_share(10, 2, sharing_scope::selected_nodes) == 3);
    CHECK(connection_share(195, 6, sharing_scope::selected_nodes) == 24);
}

TEST_CASE(
    "a node uses a smaller share right after its start, while servers may count its VM's old connections") {
    started_pool it;
    CHECK(it.limits().max_connections == 1);
    it.pass(seconds{10});
    CHECK(it.limits().max_connections == 4);
}

TEST_CASE("a node that still discovers others opens connections only on demand, for at most two seconds") {
    started_pool it;
    for (int n = 0; n < 6; ++n) {
        it.pass(milliseconds{300});
        CHECK_FALSE(it.limits().keep_open);
        it.pool.on_nodes_changed();
    }
    it.pass(milliseconds{199});
    CHECK_FALSE(it.limits().keep_open);
    it.pass(milliseconds{1});
    CHECK(it.limits().keep_open);
    it.pool.on_nodes_changed();
    CHECK(it.limits().keep_open);
}

TEST_CASE("a node that discovers no others keeps connections open after half a second") {
    started_pool it;
    it.pool.on_nodes_changed();
    it.pass(milliseconds{500});
    CHECK(it.limits().keep_open);
}

TEST_CASE("a restart of all nodes at once does not exceed a server's connection limit") {
    for (std::uint32_t connections = 20; connections <= 100; ++connections) {
        for (std::uint32_t nodes = 7; nodes <= 9; ++nodes) {
            const std::uint32_t at_start =
                connection_share_after_start(connections, nodes, sharing_scope::all_nodes);
            CHECK(at_start >= 1);
            const std::uint32_t all =
                nodes * (connection_share(connections, nodes, sharing_scope::all_nodes) + at_start);
            CHECK((all <= connections || at_start == 1));
        }
    }
}

} // namespace pollengrade
