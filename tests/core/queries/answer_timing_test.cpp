/** @file answer_timing_test.cpp The time reserved for an answer follows the caller's distance and the node's
 * speed. */
#include <doctest/doctest.h>

#include "core/queries/answer_timing.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration default_round_trip = milliseconds{5};
constexpr int enough_samples = 40;

route search_route() {
    route it;
    it.name = "search";
    it.target = milliseconds{150};
    it.timeout = milliseconds{800};
    return it;
}

forwarded_request request_of(duration round_trip, std::optional<duration> time_left) {
    forwarded_request it;
    it.caller_round_trip = round_trip;
    it.time_left = time_left;
    return it;
}

} // namespace

TEST_CASE(
    "more of the target is reserved for a farther caller, and the default for one of unknown distance") {
    const answer_timing timing{default_round_trip};
    const route via = search_route();
    const duration near = timing.time_outside(via, request_of(milliseconds{1}, std::nullopt));
    const duration far = timing.time_outside(via, request_of(milliseconds{20}, std::nullopt));
    const duration unknown = timing.time_outside(via, request_of(duration{0}, std::nullopt));
    CHECK(far - near == milliseconds{19});
    CHECK(unknown - near == default_round_trip - milliseconds{1});
}

TEST_CASE(
    "more of the target is reserved while timers run late or answers take long to write, within bounds") {
    answer_timing timing{default_round_trip};
    const route via = search_route();
    const forwarded_request request = request_of(milliseconds{2}, std::nullopt);
    for (int n = 0; n < enough_samples; ++n) {
        timing.on_timer(duration{200});
        timing.on_answer_written(duration{200});
    }
    const duration fast = timing.time_outside(via, request);
    CHECK(fast < milliseconds{4});
    for (int n = 0; n < 20 * enough_samples; ++n) {
        timing.on_timer(milliseconds{4});
        timing.on_answer_written(milliseconds{6});
    }
    const duration slow = timing.time_outside(via, request);
    CHECK(slow >= milliseconds{2 + 8 + 6});
    CHECK(slow < milliseconds{20});
    for (int n = 0; n < 100 * enough_samples; ++n)
        timing.on_timer(seconds{1});
    CHECK(timing.time_outside(via, request) < via.target / 2);
    for (int n = 0; n < 100 * enough_samples; ++n) {
        timing.on_timer(duration{200});
        timing.on_answer_written(duration{200});
    }
    CHECK(timing.time_outside(via, request) == fast);
}

TEST_CASE("the time that a caller has already waited counts, unless it exceeds the target") {
    timer_queue timers = paused_clock();
    answer_timing timing{default_round_trip};
    const route via = search_route();
    const forwarded_request fresh = request_of(milliseconds{2}, milliseconds{800});
    const forwarded_request connected = request_of(milliseconds{2}, milliseconds{793});
    const forwarded_request repeated = request_of(milliseconds{2}, milliseconds{400});
    timing.on_request(via, fresh, timers.now());
    const duration base = timing.time_outside(via, fresh);
    CHECK(timing.time_outside(via, connected) - base == milliseconds{7});
    CHECK(timing.time_outside(via, repeated) == base);
    // Callers that all wait for a shorter time from now on are fresh, too.
    for (int n = 0; n < 3; ++n) {
        timers.advance_to(timers.now() + seconds{11});
        timing.on_request(via, connected, timers.now());
    }
    CHECK(timing.time_outside(via, connected) == base);
}

} // namespace pollengrade
