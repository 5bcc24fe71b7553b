/** @file routes_of_holder_test.cpp Which routes a query follows if its node and the holder have different
 * ones. */
#include <doctest/doctest.h>

#include <set>
#include <string>

#include "support/two_nodes.h"

namespace pollengrade {

namespace {

/** Version 1 has the shards s0 and s1, version 2 s2 and s3. */
route_table_ptr version(std::uint64_t number) {
    route via = gather_route(0, 1);
    const bool is_first = number == 1;
    via.shards = {service_name{is_first ? "s0" : "s2"}, service_name{is_first ? "s1" : "s3"}};
    return table_of(number, {via}, 4);
}

std::set<std::string> services_asked(fake_network& at) {
    std::set<std::string> services;
    for (const pending_request& it : at.requests())
        services.insert(it.attempt.set.value());
    return services;
}

const std::set<std::string> old_shards{"s0", "s1"};
const std::set<std::string> new_shards{"s2", "s3"};

} // namespace

// CONFIG: servers saw the new version from a node's queries, while the node went on by the older one.
TEST_CASE("a holder does nothing by newer routes for a node that does not have them in force") {
    two_nodes it{version(1)};
    it.holder.apply(version(2));
    it.search();
    CHECK(services_asked(it.holder_network).empty());
    CHECK(it.answers.empty());
    it.advance(20);
    it.node.apply(version(2));
    it.advance(1);
    CHECK(services_asked(it.holder_network) == new_shards);
    CHECK(services_asked(it.network).empty());
    it.answer_all(it.holder_network, {});
    REQUIRE(it.answers.size() == 1);
    CHECK(std::holds_alternative<gathered_answer>(it.answers.back()));
}

TEST_CASE("a node that does not get its holder's routes in time runs the query by its own") {
    two_nodes it{version(1)};
    it.holder.apply(version(2));
    it.search();
    it.advance(99);
    CHECK(services_asked(it.network).empty());
    it.advance(1);
    CHECK(services_asked(it.network) == old_shards);
    CHECK(services_asked(it.holder_network).empty());
}

// CONFIG: a holder that the store did not answer ran other nodes' queries by routes that these had replaced.
TEST_CASE("a holder does nothing by older routes for a node that has newer ones in force") {
    two_nodes it{version(1)};
    it.node.apply(version(2));
    it.search();
    CHECK(services_asked(it.holder_network).empty());
    CHECK(services_asked(it.network) == new_shards);
}

TEST_CASE("a holder that another node is ahead of still delegates its own queries to a holder like itself") {
    two_nodes it{version(1)};
    delegated_request request;
    auto query = std::make_shared<forwarded_request>();
    query->host = "a.example";
    query->path = "/search/1";
    request.request = query;
    request.left = std::chrono::milliseconds{100};
    request.least_version = object_version{2};
    request.routes_version = object_version{2};
    bool is_declined = false;
    it.node.submit_delegated(request,
                             [&](const delegated_answer& answer) { is_declined = answer.is_declined; });
    CHECK(is_declined);
    it.search();
    CHECK(services_asked(it.holder_network) == old_shards);
}

TEST_CASE("a query that waits for its holder's routes is answered by what these say") {
    two_nodes it{version(1)};
    it.holder.apply(version(2));
    SUBCASE("the route is gone") {
        it.search();
        it.node.apply(table_of(2, {one_route(true)}, 4));
        it.advance(1);
        REQUIRE(it.answers.size() == 1);
        CHECK(std::holds_alternative<unroutable_answer>(it.answers.back()));
    }
    SUBCASE("the caller is gone") {
        it.search();
        it.node.abandon(it.last_run);
        it.node.apply(version(2));
        it.advance(200);
        CHECK(it.answers.empty());
        CHECK(it.network.requests().empty());
        CHECK(it.holder_network.requests().empty());
    }
    SUBCASE("a still newer version has come meanwhile") {
        it.search();
        it.holder.apply(version(3));
        it.node.apply(version(3));
        it.advance(1);
        CHECK(services_asked(it.holder_network) == new_shards);
    }
    SUBCASE("the version that came is older than the holder's") {
        it.holder.apply(version(4));
        it.search();
        it.node.apply(version(3));
        it.advance(1);
        CHECK(services_asked(it.holder_network).empty());
        it.node.apply(version(4));
        it.advance(1);
        CHECK(services_asked(it.holder_network) == new_shards);
    }
}

TEST_CASE("a holder runs queries of a node of an earlier build, which does not tell its routes") {
    two_nodes it{version(1)};
    it.node_is_of_earlier_build = true;
    it.holder.apply(version(2));
    it.search();
    CHECK(services_asked(it.holder_network) == new_shards);
}

// CONFIG: whatever comes in which order, no version is shown that is newer than the node's, none that is
// older.
TEST_CASE("a holder's requests always follow the routes that the node had in force when it sent the query") {
    const auto random = seeded_random(7);
    two_nodes it{version(1)};
    std::uint64_t at_node = 1;
    std::uint64_t at_holder = 1;
    for (int n = 0; n < 300; ++n) {
        if (random() % 4 == 0)
            it.node.apply(version(at_node = std::max(at_node, 1 + random() % 4)));
        if (random() % 4 == 0)
            it.holder.apply(version(at_holder = std::max(at_holder, 1 + random() % 4)));
        if (n % 60 == 59) { // Both start again.
            it.advance(5000);
            it.answer_all(it.network, {});
            it.answer_all(it.holder_network, {});
        }
        it.search();
        const auto asked = services_asked(it.holder_network);
        CHECK((asked.empty() || at_node == at_holder));
        if (!asked.empty())
            CHECK(asked == (at_node == 1 ? old_shards : new_shards));
        it.answer_all(it.holder_network, {});
        it.answer_all(it.network, {});
        it.advance(1 + static_cast<std::int64_t>(random() % 150));
        it.answer_all(it.holder_network, {});
        it.answer_all(it.network, {});
    }
}

} // namespace pollengrade
