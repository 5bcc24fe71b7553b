/** @file leaving_statement_test.cpp What servers state in replies, where one node reads the reply and another
 * one passes the answer on. */
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/two_nodes.h"

namespace pollengrade {

namespace {

const std::vector<std::string> leaving_servers{"s0a", "s1a", "s2a", "s3a"};

} // namespace

TEST_CASE("a node sends nothing to a server that states it leaves in an answer that a holder read and it "
          "passed on") {
    two_nodes it;
    for (int n = 0; n < 8; ++n) {
        it.search();
        it.answer_all(it.holder_network, leaving_servers);
    }
    REQUIRE(it.answers.size() == 8);
    it.holders.clear(); // The holder is lost.
    it.advance(3001);
    std::size_t late = 0;
    for (int n = 0; n < 20; ++n) {
        it.search();
        late += it.answer_all(it.network, leaving_servers);
    }
    CHECK(it.answers.size() == 28);
    CHECK(late == 0);
}

TEST_CASE("a holder sends nothing to a server that the node it works for knows to leave") {
    two_nodes it;
    const auto holders = std::exchange(it.holders, {});
    for (int n = 0; n < 8; ++n) {
        it.search();
        it.answer_all(it.network, leaving_servers);
    }
    it.holders = holders;
    it.advance(3001);
    std::size_t late = 0;
    for (int n = 0; n < 20; ++n) {
        it.search();
        late += it.answer_all(it.holder_network, leaving_servers);
    }
    CHECK(it.answers.size() == 28);
    CHECK(late == 0);
}

TEST_CASE("a node keeps to the limit that a server states in an answer that a holder read and it passed on") {
    two_nodes it;
    constexpr double per_second = 4;
    for (int n = 0; n < 8; ++n) {
        it.search();
        two_nodes::answer_limited(it.holder_network, per_second, it.proofs);
        it.advance(600);
    }
    it.holders.clear(); // The holder is lost.
    std::size_t sent = 0;
    constexpr int seconds = 4;
    constexpr int searches_per_second = 20;
    for (int n = 0; n < seconds * searches_per_second; ++n) {
        it.search();
        sent += two_nodes::answer_limited(it.network, per_second, it.proofs);
        it.advance(1000 / searches_per_second);
    }
    // Eight servers, each of which may be sent half as much again and five requests.
    constexpr double allowed = 8 * (1.5 * per_second * seconds + 5);
    CHECK(static_cast<double>(sent) <= allowed);
    CHECK(it.network.servers().find(upstream_id{"s0a"})->rate().stated() == per_second);
}

} // namespace pollengrade
