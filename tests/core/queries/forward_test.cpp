/** @file forward_test.cpp Forwarded requests: at most once, correct refusals, one route version per request,
 * in time. */
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/forward_fixture.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;
using fixture = forward_fixture;

} // namespace

TEST_CASE("a query without one shard is answered so early that a far caller has the answer at the target") {
    fixture it;
    constexpr duration target = milliseconds{100};
    constexpr duration one_way = milliseconds{12};
    auto request = std::make_shared<forwarded_request>();
    request->id = request_id{"far"};
    request->host = "a.example";
    request->path = "/search/x";
    request->caller_round_trip = one_way * 2;
    const time_point sent = it.timers.now() - one_way;
    std::optional<time_point> received;
    it.forwards.submit(std::move(request), [&](const forward_answer& answer) {
        CHECK(std::get<gathered_answer>(answer).missing == 1);
        received = it.timers.now() + one_way;
    });
    for (const char* service : {"s0", "s1", "s2"})
        it.answer(service);
    it.advance(100);
    REQUIRE(received);
    CHECK(*received - sent <= target);
    // The least shards are not answered long before they must be: the last shard may still reply.
    CHECK(*received - sent >= target - milliseconds{10});
}

TEST_CASE("a request that waits for a server that never connects ends once and is reported as not run") {
    timer_queue timers = paused_clock();
    fake_network network{timers};
    const upstream_id only = network.add("only");
    network.servers().set_members(replica_set_name{"s0"}, {only}, {4, 0});
    forwarder forwards{{timers, network.servers(), network.log(), network.counts()},
                       seeded_random(1),
                       failure_domain{"here"},
                       local_hooks(timers),
                       {},
                       caller_round_trip};
    forwards.apply(table_of(1, {one_route(true)}, 1));
    std::vector<forward_answer> answers;
    auto request = std::make_shared<forwarded_request>();
    request->id = request_id{"r"};
    request->host = "a.example";
    request->path = "/lookup/x";
    forwards.submit(std::move(request), [&](forward_answer it) { answers.push_back(std::move(it)); });
    CHECK(answers.empty());
    network.refuse_all();
    timers.advance_to(timers.now() + milliseconds{1});
    REQUIRE(answers.size() == 1);
    CHECK(std::holds_alternative<refused_answer>(answers.front()));
}

TEST_CASE("a gather answers with the greatest records of its parts and their signatures") {
    fixture it;
    it.submit("/search/x");
    const std::string low(16, 'a');
    const std::string high(16, 'z');
    it.answer("s0", low + high);
    it.answer("s1", std::string(16, 'm') + "short");
    it.answer("s2", high);
    CHECK(it.answers.empty());
    it.answer("s3", low);
    const auto* answer = it.last<gathered_answer>();
    REQUIRE(answer != nullptr);
    CHECK(answer->missing == 0);
    CHECK(answer->signatures.size() == 4);
    CHECK(answer->records == high + high + std::string(16, 'm'));
}

TEST_CASE("a long part of a gather gives the same records as a short one") {
    fixture it;
    it.submit("/search/x");
    const std::string low(16, 'a');
    const std::string middle(16, 'm');
    const std::string high(16, 'z');
    std::string filling;
    while (filling.size() < 100'000)
        filling += low;
    it.answer("s0", filling + high + filling + middle + "short");
    it.answer("s1", high + filling);
    it.answer("s2", low);
    it.answer("s3", filling);
    const auto* answer = it.last<gathered_answer>();
    REQUIRE(answer != nullptr);
    CHECK(answer->records == high + high + middle);
}

TEST_CASE("near its target a gather ends once enough shards have replied, and not before") {
    fixture it;
    it.submit("/search/x");
    it.answer("s0");
    it.answer("s1");
    it.advance(94);
    CHECK(it.answers.empty());
    it.answer("s2");
    REQUIRE(it.answers.size() == 1);
    const auto* answer = it.last<gathered_answer>();
    REQUIRE(answer != nullptr);
    CHECK(answer->missing == 1);
    CHECK(answer->signatures.size() == 3);
}

TEST_CASE("a shard with a late server gets a hedged request in time for the target") {
    fixture it;
    it.submit("/search/x");
    for (const char* service : {"s0", "s1", "s2"})
        it.answer(service);
    const upstream_id first = it.at("s3").front().to;
    it.advance(40);
    const auto open = it.at("s3");
    REQUIRE(open.size() == 2);
    CHECK(open[0].to != open[1].to);
    const auto second =
        std::find_if(open.begin(), open.end(), [&](const pending_request& one) { return one.to != first; });
    it.network.answer(second->connection, good_reply("proof"));
    REQUIRE(it.last<gathered_answer>() != nullptr);
    CHECK(it.last<gathered_answer>()->missing == 0);
}

TEST_CASE("a gather that cannot reach enough shards is refused at once and sends nothing") {
    fixture it;
    for (const char* server : {"s0a", "s0b", "s1a", "s1b"})
        it.network.servers().note_leaving(upstream_id{server}, {}, {});
    it.submit("/search/x");
    const auto* refused = it.last<refused_answer>();
    REQUIRE(refused != nullptr);
    CHECK(refused->reason == forward_refusal::no_server);
    CHECK(refused->retry_after.count() > 0);
    CHECK(it.network.requests().empty());
}

TEST_CASE("a reply to another request or without a signature is never merged") {
    fixture it;
    it.submit("/search/x");
    it.network.answer(it.at("s0").front().connection, failure(attempt_error::wrong_request));
    it.network.answer(it.at("s0").front().connection, good_reply(""));
    for (const char* service : {"s1", "s2", "s3"})
        it.answer(service);
    REQUIRE(it.last<gathered_answer>() != nullptr);
    CHECK(it.last<gathered_answer>()->missing == 1);
}

TEST_CASE("replies with the same signature are merged once") {
    fixture it;
    it.submit("/search/x");
    it.network.answer(it.at("s0").front().connection, good_reply("same"));
    it.network.answer(it.at("s1").front().connection, good_reply("same"));
    it.network.answer(it.at("s1").front().connection, good_reply("same"));
    it.answer("s2");
    it.answer("s3");
    REQUIRE(it.last<gathered_answer>() != nullptr);
    CHECK(it.last<gathered_answer>()->signatures.size() == 3);
}

TEST_CASE("a gather keeps the routes that were in force when it arrived") {
    fixture it;
    it.submit("/search/x");
    it.answer("s0");
    it.forwards.apply(table_of(2, {gather_route(2, 0.5)}, 4));
    it.answer("s1");
    it.answer("s2");
    CHECK(it.answers.empty());
    it.answer("s3");
    REQUIRE(it.last<gathered_answer>() != nullptr);
    CHECK(it.last<gathered_answer>()->signatures.size() == 4);
}

TEST_CASE("routes of a lower or equal version are ignored") {
    fixture it;
    CHECK_FALSE(it.forwards.apply(table_of(1, {gather_route(2, 0.5)}, 4)));
    CHECK(it.forwards.apply(table_of(3, {gather_route(2, 0.5)}, 4)));
    CHECK_FALSE(it.forwards.apply(table_of(2, {gather_route(4, 0.5)}, 4)));
    it.submit("/order/x");
    CHECK(it.last<unroutable_answer>() != nullptr);
}

TEST_CASE("a request that is not idempotent is sent once, even if its connection is reset") {
    fixture it;
    it.submit("/order/x");
    REQUIRE(it.at("s0").size() == 1);
    it.advance(1000);
    REQUIRE(it.at("s0").size() == 1);
    const connection_id used = it.at("s0").front().connection;
    it.network.end(used, connection_end::reset, send_state::something_written);
    CHECK(it.at("s0").empty());
    REQUIRE(it.last<failed_answer>() != nullptr);
}

TEST_CASE("a request that is not idempotent is retried only if the first server has not run it") {
    fixture it;
    it.submit("/order/x");
    const upstream_id first = it.at("s0").front().to;
    it.network.answer(it.at("s0").front().connection, failure(attempt_error::shed));
    REQUIRE(it.at("s0").size() == 1);
    CHECK(it.at("s0").front().to != first);
    it.network.answer(it.at("s0").front().connection, failure(attempt_error::shed));
    const auto* refused = it.last<refused_answer>();
    REQUIRE(refused != nullptr);
    CHECK(refused->reason == forward_refusal::refused_by_all);
}

TEST_CASE("a request of which nothing was written when its connection ended is retried") {
    fixture it;
    it.submit("/order/x");
    const connection_id used = it.at("s0").front().connection;
    it.network.end(used, connection_end::closed, send_state::nothing_written);
    REQUIRE(it.at("s0").size() == 1);
    it.answer("s0");
    CHECK(it.last<proxied_answer>() != nullptr);
}

TEST_CASE("a server error is forwarded if no retry is allowed, and retried if the request is idempotent") {
    fixture it;
    forwarded_reply failed;
    failed.message.status = 500;
    failed.signature = "proof";
    it.submit("/order/x");
    it.network.answer(it.at("s0").front().connection, failed);
    REQUIRE(it.last<proxied_answer>() != nullptr);
    CHECK(it.last<proxied_answer>()->message.status == 500);
    it.submit("/lookup/x");
    it.network.answer(it.at("s0").front().connection, failed);
    REQUIRE(it.at("s0").size() == 1);
    it.answer("s0");
    CHECK(it.last<proxied_answer>()->message.status == 200);
}

TEST_CASE("a request without a reply fails at its deadline, neither earlier nor later") {
    fixture it;
    it.submit("/order/x");
    it.advance(1990);
    CHECK(it.answers.empty());
    it.advance(10);
    REQUIRE(it.last<failed_answer>() != nullptr);
    CHECK(it.last<failed_answer>()->reason == forward_failure::timed_out);
}

TEST_CASE("a request abandoned by its caller is cancelled at the servers") {
    fixture it;
    it.submit("/search/x");
    REQUIRE(it.network.requests().size() == 4);
    it.forwards.abandon(run_id{1});
    CHECK(it.network.requests().empty());
    CHECK(it.network.closed().size() == 4);
    it.advance(1);
    CHECK(it.forwards.running() == 0);
    CHECK(it.answers.empty());
}

TEST_CASE("each service of a weighted route has its share after any number of requests") {
    traffic_split split;
    const std::vector<weighted_service> services{
        {service_name{"x"}, 5}, {service_name{"y"}, 3}, {service_name{"z"}, 2}};
    std::map<std::string, int> counts;
    for (int n = 1; n <= 300; ++n) {
        ++counts[split.next("r", services).value()];
        for (const weighted_service& one : services) {
            const double share = one.weight / 10.0;
            CHECK(std::abs(counts[one.name.value()] - share * n) < 1.5);
        }
    }
}

TEST_CASE("the longest matching prefix wins; case and port of the host are ignored") {
    route longer = one_route(true);
    longer.name = "longer";
    longer.prefix = "/lookup/deep/";
    const auto table = table_of(1, {one_route(true), longer}, 1);
    CHECK(table->find("A.Example:80", "/lookup/deep/x")->name == "longer");
    CHECK(table->find("a.example", "/lookup/deep")->name == "lookup");
    CHECK(table->find("a.example", "/lookup") == nullptr);
    CHECK(table->find("b.example", "/lookup/x") == nullptr);
}

TEST_CASE("least_shards() rounds up to whole shards and is at least one") {
    CHECK(least_shards(0.89, 10) == 9);
    CHECK(least_shards(0.9, 10) == 9);
    CHECK(least_shards(0.89, 15) == 14);
    CHECK(least_shards(0.75, 10) == 8);
    CHECK(least_shards(0, 10) == 1);
}

} // namespace pollengrade
