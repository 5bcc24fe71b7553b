/** @file placement_test.cpp Server selection, retry budget, latency quantiles and hedge delay. */
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "core/base/latency_profile.h"
#include "core/queries/hedge_func.h"
#include "core/upstreams/placement_func.h"
#include "core/upstreams/retry_budget.h"
#include "runtime/random_source.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

constexpr placement_candidate local{true, false, true, 0, 2, 1};
constexpr placement_candidate foreign{true, false, false, 0, 2, 1};

placement_candidate with_load(placement_candidate it, std::uint32_t in_flight) {
    it.in_flight = in_flight;
    return it;
}

placement_candidate degraded(placement_candidate it) {
    it.is_ready = false;
    return it;
}

/** @return how often each candidate is selected in 100 calls. */
std::vector<int> picks(const std::vector<placement_candidate>& candidates, placement_purpose purpose) {
    std::vector<int> counts(candidates.size(), 0);
    const auto random = seeded_random(7);
    for (int n = 0; n < 100; ++n) {
        if (const auto it = place(candidates, purpose, random))
            ++counts.at(*it);
    }
    return counts;
}

} // namespace

TEST_CASE("a server of the local failure domain is selected unless others are expected to be twice as fast") {
    CHECK(picks({foreign, local}, placement_purpose::first) == std::vector{0, 100});
    CHECK(picks({foreign, with_load(local, 1)}, placement_purpose::first) == std::vector{0, 100});
    CHECK(picks({foreign, with_load(local, 6)}, placement_purpose::first) == std::vector{100, 0});
}

TEST_CASE("equal servers are selected about equally often, and a less loaded one first") {
    const auto even = picks({foreign, foreign}, placement_purpose::first);
    CHECK(even[0] > 20);
    CHECK(even[1] > 20);
    CHECK(picks({with_load(foreign, 2), foreign}, placement_purpose::first) == std::vector{0, 100});
}

TEST_CASE("a degraded server is selected only if there is no other, and never for a hedge") {
    CHECK(picks({degraded(local), with_load(foreign, 4)}, placement_purpose::first) == std::vector{0, 100});
    CHECK(picks({degraded(local)}, placement_purpose::retry) == std::vector{100});
    CHECK(picks({degraded(local)}, placement_purpose::hedge) == std::vector{0});
}

TEST_CASE("only a first attempt that may be a trial selects a server whose trial is due") {
    placement_candidate trial = degraded(foreign);
    trial.is_trial_due = true;
    CHECK(picks({local, trial}, placement_purpose::first) == std::vector{0, 100});
    CHECK(picks({local, trial}, placement_purpose::no_trial) == std::vector{100, 0});
    CHECK(picks({local, trial}, placement_purpose::hedge) == std::vector{100, 0});
}

TEST_CASE("in any window a retry budget allows at most its ratio of the needed requests plus its slack") {
    // The users' limit uses the needed requests of the window, of the window before, or of the window that
    // started half a window earlier, whichever has most: extra requests that were within the limit when sent
    // must not exceed it because traffic falls.
    const retry_budget_limits limits{0.2, 5, std::chrono::seconds{10}};
    constexpr std::int64_t window_ms = 10000;
    const auto random = seeded_random(3);
    for (int run = 0; run < 20; ++run) {
        retry_budget it{limits};
        std::vector<std::int64_t> needed; // Milliseconds.
        std::vector<std::int64_t> extra;
        std::int64_t now = 1'000'000;
        const auto count = [](const std::vector<std::int64_t>& list, std::int64_t end) {
            const auto from = std::upper_bound(list.begin(), list.end(), end - window_ms);
            return static_cast<double>(std::distance(from, std::upper_bound(from, list.end(), end)));
        };
        for (int n = 0; n < 6000; ++n) {
            now += static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(1 + (now / 7000) % 24));
            const time_point when{milliseconds{now}};
            it.on_needed_request(when);
            needed.push_back(now);
            // No extra requests for 15 s, then as many as the budget allows for 15 s.
            if ((now / 15000) % 2 == 1 && it.try_take(when))
                extra.push_back(now);
        }
        for (std::int64_t end = 1'000'000; end <= now; end += 50) {
            const double most = std::max(
                {count(needed, end), count(needed, end - window_ms / 2), count(needed, end - window_ms)});
            REQUIRE(count(extra, end) <= limits.ratio * most + limits.slack);
        }
        CHECK(extra.size() > 200);
    }
}

TEST_CASE("an extra request that was given back may be sent again") {
    retry_budget it{{0, 1, std::chrono::seconds{10}}};
    const time_point now{std::chrono::seconds{100}};
    CHECK(it.try_take(now));
    CHECK_FALSE(it.try_take(now));
    it.give_back(now);
    CHECK(it.try_take(now));
}

TEST_CASE("a latency profile gives quantiles to within one bin, and adapts to a change") {
    latency_profile it;
    for (int n = 1; n <= 1000; ++n)
        it.add(milliseconds{n % 100 + 1});
    CHECK(it.quantile(0.5) >= milliseconds{48});
    CHECK(it.quantile(0.5) <= milliseconds{58});
    CHECK(it.quantile(0.95) >= milliseconds{93});
    CHECK(it.quantile(0.95) <= milliseconds{108});
    for (int n = 0; n < 3000; ++n)
        it.add(milliseconds{500});
    CHECK(it.quantile(0.5) >= milliseconds{490});
}

TEST_CASE("a hedge is due after the usual reply time, and early enough for its reply to meet the target") {
    CHECK(hedge_delay({milliseconds{10}, std::nullopt, milliseconds{20}}) == milliseconds{20});
    CHECK(hedge_delay({milliseconds{40}, std::nullopt, milliseconds{20}}) == milliseconds{60});
    CHECK(hedge_delay({std::nullopt, std::nullopt, milliseconds{20}}) == milliseconds{20});
    CHECK(hedge_delay({milliseconds{20}, milliseconds{90}, duration{0}}) == milliseconds{30});
    CHECK(hedge_delay({milliseconds{50}, milliseconds{90}, duration{0}}) == milliseconds{50});
}

} // namespace pollengrade
