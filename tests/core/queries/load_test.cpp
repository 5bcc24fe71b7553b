/** @file load_test.cpp What callers get under load and under servers' faults, by tail latency, coverage and
 * extra load. */
#include <doctest/doctest.h>

#include "support/load_model.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t seeds = 3; ///< every load is played with this many seeds

load_plan seeded_plan(std::uint64_t seed) {
    load_plan plan;
    plan.seed = seed;
    return plan;
}

} // namespace

TEST_CASE("load: with servers that pause, nearly all queries are whole and in time at little extra load") {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        load_plan plan = seeded_plan(seed);
        plan.pause_length = milliseconds{200};
        const load_result it = play(plan);
        CHECK(it.p99 <= plan.target);
        CHECK(it.share_whole() >= 0.98);
        CHECK(it.extra <= plan.budget.ratio / 2);
        CHECK(it.failed == 0);
    }
}

TEST_CASE(
    "load: a shard with one fast and two slow servers serves the queries that can still be in time first") {
    // All shards are needed. The fast server can run 150 of 200 requests a second, so that a quarter of the
    // queries must be late; a first-come queue makes nearly all of them late.
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        load_plan plan = seeded_plan(seed);
        plan.rate = 200;
        plan.connections = 18;
        plan.min_shard_ratio = 1;
        plan.troubles = [](std::size_t shard, std::size_t replica) {
            server_troubles it;
            if (shard == 0 && replica > 0) {
                it.slow = {seconds{1}, seconds{10}};
                it.slow_factor = 8.5;
            }
            return it;
        };
        CHECK(play(plan).share_on_time() > 0.5);
    }
}

TEST_CASE("load: with servers that refuse half of their load, retries go to queries that they can save") {
    // Nine of ten shards are needed, and three refuse half of their requests. The budget covers a quarter of
    // the requests to a shard. Spent on each refusal alike, it lets 0.62 of the requests to such a shard
    // succeed, and so two of the three for 0.676 of the queries.
    constexpr double spent_alike = 0.676;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        load_plan plan = seeded_plan(seed);
        plan.length = seconds{30};
        plan.troubles = [](std::size_t shard, std::size_t) {
            server_troubles it;
            if (shard < 3) {
                it.refusing = {seconds{0}, seconds{30}};
                it.refused_share = 0.5;
            }
            return it;
        };
        const load_result it = play(plan);
        CHECK(it.share_on_time() > spent_alike);
        CHECK(it.extra <= plan.budget.ratio + plan.budget.slack / (plan.rate * 10));
        // A query that cannot reach its least shards is refused at once.
        CHECK(it.p99_failed <= milliseconds{50});
    }
}

TEST_CASE("load: a server that states a request rate does not get more from all nodes together") {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        load_plan plan = seeded_plan(seed);
        plan.length = seconds{20};
        plan.troubles = [](std::size_t shard, std::size_t replica) {
            server_troubles it;
            if (shard == 0 && replica > 0) {
                it.limited = {seconds{3}, seconds{18}};
                it.stated_rate = 20;
            }
            return it;
        };
        const load_result it = play(plan);
        CHECK(it.rate_use <= 1);
        CHECK(it.share_on_time() >= 0.98);
    }
}

TEST_CASE("load: with all servers limited to half the load that many queries are served whole") {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        load_plan plan = seeded_plan(seed);
        plan.length = seconds{20};
        plan.troubles = [](std::size_t, std::size_t) {
            server_troubles it;
            it.limited = {seconds{0}, seconds{20}};
            it.stated_rate = 22;
            return it;
        };
        const load_result it = play(plan);
        CHECK(it.rate_use <= 1);
        CHECK(it.rate_used >= 0.8);
        CHECK(it.share_on_time() >= 0.4);
        CHECK(it.p99_failed <= milliseconds{50});
    }
}

TEST_CASE("load: queries do not wait for a shard whose servers read requests and never reply") {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        load_plan plan = seeded_plan(seed);
        plan.troubles = [](std::size_t shard, std::size_t) {
            server_troubles it;
            if (shard == 0)
                it.silent = {seconds{2}, seconds{8}};
            return it;
        };
        const load_result it = play(plan);
        CHECK(it.share_on_time() >= 0.99);
        // The shard misses for six of ten seconds, and less than a second passes until it is used again.
        CHECK(it.share_whole() >= 0.3);
        CHECK(it.p50 <= plan.target / 2);
    }
}

} // namespace pollengrade
