/** @file stop_test.cpp A stopping node: every request has an answer that is true before the node ends. */
#include <doctest/doctest.h>

#include <string>

#include "core/queries/stop_schedule.h"
#include "support/forward_fixture.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration until_last_answer = seconds{3};
/** From then on an order, whose target is 400 ms, is not expected to end. */
constexpr std::int64_t too_late_ms = 2200;

/** A forwarder that begins to stop. */
struct stopping_fixture : forward_fixture {
    stopping_fixture() { forwards.stop_by(timers.now() + until_last_answer); }

    [[nodiscard]] bool is_refused() const {
        const auto* refused = last<refused_answer>();
        return refused != nullptr && refused->reason == forward_refusal::stopping &&
               refused->retry_after.count() > 0;
    }
};

} // namespace

TEST_CASE("the times of a stop are in order and end before the grace time does, however short it is") {
    const time_point now{seconds{100}};
    for (const duration grace : {seconds{1}, seconds{2}, seconds{6}, seconds{30}}) {
        const stop_schedule it = plan_stop(now, grace);
        CHECK(now < it.idle_end);
        CHECK(it.idle_end <= it.last_answer);
        CHECK(it.last_answer < it.end);
        CHECK(it.end < now + grace);
    }
}

// LOST: such requests were sent to servers and cut at the end of the process.
TEST_CASE("a request that cannot end before the node does is refused at once and not sent") {
    stopping_fixture it;
    it.advance(too_late_ms - 10);
    it.submit("/order/in-time");
    CHECK(it.at("s0").size() == 1);
    it.answer("s0");
    CHECK(it.last<proxied_answer>() != nullptr);
    it.advance(10);
    for (const char* path : {"/order/late", "/lookup/late"}) {
        it.submit(path);
        CHECK(it.is_refused());
    }
    CHECK(it.at("s0").empty());
    it.submit("/unknown/late");
    CHECK(it.last<unroutable_answer>() != nullptr);
}

// LOST: requests that ran at the end of the process were cut without an answer.
TEST_CASE("a request that runs at the last answer of a stopping node is answered without a promise") {
    stopping_fixture it;
    it.advance(1500);
    it.submit("/order/x");
    it.submit("/lookup/x");
    it.advance(1500 - 10);
    CHECK(it.answers.empty());
    it.advance(10);
    REQUIRE(it.answers.size() == 2);
    for (const forward_answer& answer : it.answers)
        CHECK(std::holds_alternative<failed_answer>(answer));
}

TEST_CASE("a request that ran before the stop signal is answered before the node ends, too") {
    forward_fixture it;
    it.submit("/order/x");
    it.forwards.stop_by(it.timers.now() + milliseconds{500});
    it.advance(500);
    REQUIRE(it.answers.size() == 1);
    CHECK(it.last<failed_answer>() != nullptr);
}

// LOST: a request that still waited for a server was sent in the last moment and cut.
TEST_CASE("a request that waits at a stopping node is refused and never sent") {
    stopping_fixture it;
    it.advance(1000);
    std::size_t running = 0;
    while (it.at("s0").size() == running) {
        it.submit("/order/running");
        ++running;
    }
    REQUIRE(it.answers.empty()); // The last one waits.
    it.advance(too_late_ms - 1000);
    REQUIRE(it.answers.size() == 1);
    CHECK(it.is_refused());
    it.answer("s0");
    CHECK(it.at("s0").size() == running - 2);
}

TEST_CASE("a request is not retried once it could not end before the node does") {
    stopping_fixture it;
    it.advance(too_late_ms - 10);
    it.submit("/order/x");
    it.advance(20);
    it.network.answer(it.at("s0").front().connection, failure(attempt_error::shed));
    CHECK(it.at("s0").empty());
    CHECK(it.is_refused());
}

TEST_CASE("a search that runs at the last answer of a stopping node is answered with the shards it has") {
    forward_fixture it{0.5};
    it.submit("/search/x");
    it.forwards.stop_by(it.timers.now() + milliseconds{90});
    for (const char* service : {"s0", "s1", "s2"})
        it.answer(service);
    it.advance(90);
    REQUIRE(it.last<gathered_answer>() != nullptr);
    CHECK(it.last<gathered_answer>()->missing == 1);
}

TEST_CASE("a stopping holder declines queries that it cannot end, and ends the others in time") {
    forward_fixture it;
    auto query = std::make_shared<forwarded_request>();
    query->id = request_id{"q"};
    query->host = "a.example";
    query->path = "/search/x";
    delegated_request request{query, duration{0}, milliseconds{600}, object_version{1}};
    std::vector<delegated_answer> answers;
    const auto keep = [&answers](delegated_answer answer) { answers.push_back(std::move(answer)); };
    it.forwards.submit_delegated(request, keep);
    it.forwards.stop_by(it.timers.now() + milliseconds{300});
    it.advance(150);
    it.forwards.submit_delegated(request, keep);
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().is_declined);
    it.advance(150);
    REQUIRE(answers.size() == 2);
    CHECK_FALSE(answers.back().is_declined);
    CHECK(std::holds_alternative<failed_answer>(answers.back().answer));
}

} // namespace pollengrade
