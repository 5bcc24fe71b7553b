/** @file burst_test.cpp Many requests at once: how long a queue may grow, by how fast its servers reply. */
#include <doctest/doctest.h>

#include <algorithm>
#include <variant>
#include <vector>

#include "support/forward_fixture.h"

namespace pollengrade {

namespace {

constexpr std::size_t open_connections = 2; ///< of the service; no more are established in these tests
constexpr std::size_t slots = 4;            ///< of its servers
constexpr std::size_t usual_queue = 8;      ///< the fixture lets four wait for each server
constexpr std::size_t longest_queue = 128;  ///< and 64 that are expected to be answered in time

struct burst_fixture : forward_fixture {
    /** Lets the node learn how long the service's servers take. */
    void learn(std::int64_t reply_ms) {
        constexpr int lookups = 60;
        for (int n = 0; n < lookups; ++n) {
            submit("/lookup/x");
            advance(reply_ms);
            answer("s0");
        }
        answers.clear();
    }

    void submit_burst(std::size_t size) {
        for (std::size_t n = 0; n < size; ++n)
            submit("/lookup/x");
    }

    /** The servers answer all that they have been sent, again and again, until nothing is left. */
    void answer_all(std::int64_t reply_ms) {
        while (!at("s0").empty()) {
            advance(reply_ms);
            for (std::size_t left = at("s0").size(); left > 0; --left)
                answer("s0");
        }
    }

    [[nodiscard]] std::size_t refused() const {
        return static_cast<std::size_t>(
            std::count_if(answers.begin(), answers.end(), [](const forward_answer& it) {
                const auto* found = std::get_if<refused_answer>(&it);
                return found != nullptr && found->reason == forward_refusal::overload;
            }));
    }
};

} // namespace

TEST_CASE("a burst that the servers can answer in time is not refused") {
    burst_fixture it;
    constexpr std::int64_t reply_ms = 2;
    constexpr std::size_t burst = 120;
    it.learn(reply_ms);
    const time_point sent = it.timers.now();
    it.submit_burst(burst);
    CHECK(it.refused() == 0);
    it.answer_all(reply_ms);
    CHECK(it.answers.size() == burst);
    CHECK(std::all_of(it.answers.begin(), it.answers.end(), [](const forward_answer& answer) {
        return std::holds_alternative<proxied_answer>(answer);
    }));
    CHECK(it.timers.now() - sent <= one_route(true).target);
}

TEST_CASE("of a burst that the servers cannot answer in time, the rest is refused at once") {
    burst_fixture it;
    constexpr std::int64_t reply_ms = 60;
    constexpr std::size_t burst = 120;
    it.learn(reply_ms);
    it.submit_burst(burst);
    // As many as the servers can answer one after the other before the target.
    const auto in_time = slots * static_cast<std::size_t>(to_milliseconds(one_route(true).target) / reply_ms);
    CHECK(it.refused() >= burst - std::max(in_time, open_connections + usual_queue));
    CHECK(it.refused() <= burst - open_connections - usual_queue);
}

TEST_CASE("while nothing is known of the servers a burst is refused beyond the usual queue") {
    burst_fixture it;
    constexpr std::size_t burst = 120;
    it.submit_burst(burst);
    CHECK(it.refused() == burst - open_connections - usual_queue);
}

TEST_CASE("a queue has a bound even if the servers are fast") {
    burst_fixture it;
    constexpr std::size_t burst = 1000;
    it.learn(1);
    it.submit_burst(burst);
    CHECK(it.refused() == burst - open_connections - longest_queue);
}

} // namespace pollengrade
