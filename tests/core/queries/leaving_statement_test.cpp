/** @file leaving_statement_test.cpp What servers state in replies, where one node reads the reply and another
 * one passes the answer on. */
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/forward_fixture.h"

namespace pollengrade {

namespace {

/** A node that callers use, and a holder to which it delegates queries while one is named. */
struct two_nodes {
    two_nodes() {
        for (fake_network* it : {&network, &holder_network}) {
            for (int service = 0; service < 4; ++service) {
                std::vector<upstream_id> members;
                for (const char* replica : {"a", "b"})
                    members.push_back(it->add("s" + std::to_string(service) + replica));
                it->servers().set_members(replica_set_name{"s" + std::to_string(service)}, members, {4, 0});
            }
            it->connect_all();
        }
        node.apply(table_of(1, {gather_route(4, 0.75)}, 4));
        holder.apply(table_of(1, {gather_route(4, 0.75)}, 4));
    }

    void search() {
        auto request = std::make_shared<forwarded_request>();
        request->id = request_id{"r" + std::to_string(++submitted)};
        request->host = "a.example";
        request->path = "/search/1";
        node.submit(std::move(request), [this](forward_answer it) { answers.push_back(std::move(it)); });
    }

    /** Answers all requests at the servers; those of some servers state that they leave. */
    std::size_t answer_all(fake_network& at, const std::vector<std::string>& leaving) {
        std::size_t to_leaving = 0;
        for (const pending_request& it : at.requests()) {
            const bool leaves = std::find(leaving.begin(), leaving.end(), it.to.value()) != leaving.end();
            const std::string proof = it.to.value() + "-" + std::to_string(++proofs);
            to_leaving += leaves ? 1U : 0U;
            if (leaves)
                at.answer_leaving(it.connection, good_reply(proof));
            else
                at.answer(it.connection, good_reply(proof));
        }
        at.connect_all();
        return to_leaving;
    }

    /** Answers all requests at the servers, which state a limit. @return the number of requests */
    static std::size_t answer_limited(fake_network& at, double per_second, int& proofs) {
        std::size_t count = 0;
        for (const pending_request& it : at.requests()) {
            const std::string proof = it.to.value() + "-" + std::to_string(++proofs);
            at.answer(it.connection, good_reply(proof), true, {per_second, true});
            ++count;
        }
        return count;
    }

    void advance(std::int64_t ms) { timers.advance_to(timers.now() + std::chrono::milliseconds{ms}); }

    forwarder_hooks hooks_of_node() {
        forwarder_hooks it = local_hooks(timers);
        it.holders = [this](const route&) { return holders; };
        return it;
    }

    /** A holder that acknowledges and takes each query at once. */
    delegation_hooks calls() {
        return {[this](delegation_call, const node_address&, duration,
                       const std::function<delegated_request()>& acknowledged,
                       std::function<void(std::optional<delegated_answer>)> done) {
                    holder.submit_delegated(acknowledged(), std::move(done));
                },
                [](delegation_call) {}, [](const node_address&) { return failure_domain{"here"}; }};
    }

    timer_queue timers = paused_clock();
    fake_network network{timers};
    fake_network holder_network{timers, 2};
    std::vector<node_address> holders{node_address{"h:1"}};
    forwarder holder{{timers, holder_network.servers(), holder_network.log(), holder_network.counts()},
                     seeded_random(2),
                     failure_domain{"here"},
                     local_hooks(timers),
                     {},
                     caller_round_trip};
    forwarder node{{timers, network.servers(), network.log(), network.counts()},
                   seeded_random(1),
                   failure_domain{"here"},
                   hooks_of_node(),
                   calls(),
                   caller_round_trip};
    std::vector<forward_answer> answers;
    int submitted = 0;
    int proofs = 0;
};

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
