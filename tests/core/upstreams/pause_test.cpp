/** @file pause_test.cpp Servers that ask for a pause get nothing for so long, and callers hear of it at once.
 */
#include <doctest/doctest.h>

#include <string>

#include "support/forward_fixture.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Requests in which all servers that are asked at a service ask for a pause. */
void pause_all(forward_fixture& it, const std::string& service, duration pause) {
    it.submit("/lookup/x");
    while (!it.at(service).empty())
        it.network.answer_paused(it.at(service).front().connection, pause);
    it.advance(0);
}

} // namespace

// BUDGET: servers that had asked for a pause went on getting retries, trials and first attempts.
TEST_CASE("a server that asks for a pause gets no request until its end, then one at a time") {
    forward_fixture it;
    it.submit("/order/x");
    const upstream_id paused = it.at("s0").front().to;
    it.network.answer_paused(it.at("s0").front().connection, seconds{2});
    for (int ms = 0; ms < 2000; ms += 100) {
        it.submit("/order/x");
        for (const pending_request& one : it.at("s0"))
            CHECK(one.to != paused);
        while (!it.at("s0").empty())
            it.answer("s0");
        it.advance(100);
    }
    it.advance(500); // The spread of the nodes' return.
    std::size_t most = 0;
    for (int n = 0; n < 8; ++n) {
        it.submit("/order/x");
        const auto requests = it.at("s0");
        const auto there = static_cast<std::size_t>(std::count_if(
            requests.begin(), requests.end(), [&](const auto& one) { return one.to == paused; }));
        most = std::max(most, there);
    }
    CHECK(most == 1);
}

TEST_CASE("if all servers ask for a pause, a request is refused at once until the soonest of them ends") {
    forward_fixture it;
    pause_all(it, "s0", milliseconds{500});
    const auto* first = it.last<refused_answer>();
    REQUIRE(first != nullptr); // The request that was turned away itself.
    CHECK(first->retry_after >= milliseconds{400});
    it.advance(100);
    it.submit("/order/x");
    const auto* refused = it.last<refused_answer>();
    REQUIRE(refused != nullptr);
    CHECK(it.at("s0").empty());
    CHECK(refused->retry_after >= milliseconds{300});
    CHECK(refused->retry_after <= milliseconds{400 + 63});
    it.advance(500);
    it.submit("/order/x");
    CHECK(it.at("s0").size() == 1);
}

TEST_CASE("a long pause is told to callers as far as they wait for it") {
    forward_fixture it;
    pause_all(it, "s0", seconds{30});
    it.submit("/order/x");
    REQUIRE(it.last<refused_answer>() != nullptr);
    CHECK(it.last<refused_answer>()->retry_after <= milliseconds{2000 / 3 + 1});
}

TEST_CASE(
    "a gather leaves a shard whose servers pause out at once if it may, and is refused at once if not") {
    forward_fixture partial{0.75};
    pause_all(partial, "s0", seconds{5});
    partial.submit("/search/x");
    CHECK(partial.at("s0").empty());
    for (const char* service : {"s1", "s2", "s3"})
        partial.answer(service);
    REQUIRE(partial.last<gathered_answer>() != nullptr);
    CHECK(partial.last<gathered_answer>()->missing == 1);
    forward_fixture whole{1};
    pause_all(whole, "s0", seconds{5});
    whole.submit("/search/x");
    CHECK(whole.last<refused_answer>() != nullptr);
    CHECK(whole.network.requests().empty());
}

TEST_CASE("a later pause replaces an earlier one, unless it answers a request that was sent before that") {
    const time_point start{seconds{1000}};
    upstream it{{}, {}};
    it.pause(start + seconds{1}, start, start + seconds{10});
    it.pause(start + seconds{2}, start, start + seconds{3}); // Sent before the first pause was known.
    CHECK(it.paused_until() == start + seconds{10});
    it.pause(start + seconds{3}, start + seconds{2}, start + seconds{4});
    CHECK(it.paused_until() == start + seconds{4});
    CHECK(it.condition(start + seconds{3}) == upstream_condition::paused);
    CHECK(it.condition(start + seconds{4}) == upstream_condition::ready);
    CHECK(it.mark_leaving({}));
    CHECK(it.condition(start + seconds{3}) == upstream_condition::leaving);
}

TEST_CASE("a pause is reduced to the longest that the settings allow") {
    forward_fixture it;
    it.network.servers().set_max_pause(seconds{1});
    pause_all(it, "s0", seconds{600});
    it.advance(1200);
    it.submit("/order/x");
    CHECK(it.at("s0").size() == 1);
}

} // namespace pollengrade
