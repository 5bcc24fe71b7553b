/** @file object_watcher_test.cpp Following the platform's store: lists, watches, outages, lost history. */
#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "core/cluster/object_watcher.h"
#include "runtime/random_source.h"
#include "support/fake_node.h"
#include "support/server_entries.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A feed whose calls a test answers. */
struct feed_fixture {
    explicit feed_fixture(duration rest = milliseconds{500}, std::uint64_t seed = 1)
        : feed{timers, seeded_random(seed), rest, hooks()} {}

    object_watcher_hooks hooks() {
        object_watcher_hooks it;
        it.list = [this](duration limit, bool cheap, object_watcher_hooks::listed done) {
            list_limits.push_back(limit);
            list_was_cheap.push_back(cheap);
            listing = std::move(done);
        };
        it.watch = [this](object_version after, duration wait, duration limit,
                          object_watcher_hooks::watched done) {
            watched_from.push_back(after.value());
            watch_waits.push_back(wait);
            watch_limits.push_back(limit);
            watching = std::move(done);
        };
        it.replaced = [this](const object_list& list) { replaced.push_back(list.revision.value()); };
        it.changed = [this](const object_changes& changes) { changed.push_back(changes.revision.value()); };
        it.reached = [this](bool reached) { reached_now = reached; };
        it.is_store_watcher = [] { return true; };
        return it;
    }

    void pass(std::int64_t ms) { timers.advance_to(timers.now() + milliseconds{ms}); }
    void answer_list(std::uint64_t revision) {
        std::exchange(listing, nullptr)(object_list{object_version{revision}, {}});
    }
    void fail_list(store_error ec) { std::exchange(listing, nullptr)(tl::unexpected{ec}); }
    void fail_watch(store_error ec) { std::exchange(watching, nullptr)(tl::unexpected{ec}); }

    timer_queue timers = paused_clock();
    object_watcher_hooks::listed listing;
    object_watcher_hooks::watched watching;
    std::vector<duration> list_limits;
    std::vector<bool> list_was_cheap;
    std::vector<std::uint64_t> watched_from;
    std::vector<duration> watch_waits;
    std::vector<duration> watch_limits;
    std::vector<std::uint64_t> replaced;
    std::vector<std::uint64_t> changed;
    bool reached_now = false;
    object_watcher feed;
};

} // namespace

TEST_CASE("a feed lists once, then watches from the list's revision on") {
    feed_fixture it;
    it.feed.start();
    it.answer_list(7);
    CHECK(it.watched_from == std::vector<std::uint64_t>{7});
    std::exchange(it.watching, nullptr)(object_changes{object_version{9}, {}});
    it.pass(0);
    CHECK(it.watched_from == std::vector<std::uint64_t>{7, 9});
    CHECK(it.list_limits.size() == 1);
}

TEST_CASE("changes that come close together cost one call") {
    feed_fixture it;
    it.feed.start();
    it.answer_list(7);
    std::exchange(it.watching,
                  nullptr)(object_changes{object_version{8}, {{object_of(entry_of("a", 8)), false}}});
    it.pass(499);
    CHECK(it.watched_from.size() == 1);
    it.pass(1);
    CHECK(it.watched_from == std::vector<std::uint64_t>{7, 8});
    CHECK(it.changed == std::vector<std::uint64_t>{8});
}

TEST_CASE("history that is gone leads to a list, at once, and the store counts as reached") {
    feed_fixture it;
    it.feed.start();
    it.answer_list(7);
    it.fail_watch(store_error::history_gone);
    CHECK(it.reached_now);
    CHECK(it.list_limits.size() == 2);
    it.answer_list(20);
    CHECK(it.watched_from == std::vector<std::uint64_t>{7, 20});
    // Only the first may be behind: one after lost history must not be older than what is held.
    CHECK(it.list_was_cheap == std::vector<bool>{true, false});
}

TEST_CASE("a failed watch is never repeated tightly") {
    feed_fixture it;
    it.feed.start();
    it.answer_list(7);
    for (int n = 0; n < 500; ++n) {
        if (it.watching)
            it.fail_watch(store_error::unavailable);
        it.pass(10);
    }
    // Five seconds of an outage: pauses of 200 ms, doubled to 1.6 s, each drawn between a half and the whole.
    CHECK(it.watched_from.size() <= 9);
    CHECK(it.watched_from.size() >= 4);
}

TEST_CASE("a store that takes calls and is silent is found to answer again within seconds") {
    feed_fixture it;
    it.feed.start();
    it.answer_list(7);
    CHECK(it.watch_waits.back() >= seconds{1});
    CHECK(it.watch_waits.back() <= seconds{28});
    CHECK(it.watch_limits.back() == it.watch_waits.back() + seconds{2});
    it.fail_watch(store_error::unavailable);
    CHECK_FALSE(it.reached_now);
    // Silent for ten seconds: a call that it takes ends by its limit.
    const time_point end = it.timers.now() + seconds{10};
    std::size_t silent = 0;
    while (it.timers.now() < end) {
        it.pass(100);
        if (!it.watching)
            continue;
        CHECK(it.watch_waits.back() == duration{0});
        CHECK(it.watch_limits.back() <= seconds{2});
        it.pass(to_milliseconds(it.watch_limits.back()));
        it.fail_watch(store_error::unavailable);
        REQUIRE(++silent < 20);
    }
    CHECK(silent >= 4);
    it.pass(1600);
    REQUIRE(it.watching);
    std::exchange(it.watching, nullptr)(object_changes{object_version{7}, {}});
    CHECK(it.reached_now);
    it.pass(0);
    CHECK(it.watch_waits.back() >= seconds{1});
    CHECK(it.watch_limits.back() == it.watch_waits.back() + seconds{2});
    it.pass(to_milliseconds(it.watch_waits.back()));
    std::exchange(it.watching, nullptr)(object_changes{object_version{7}, {}});
    it.pass(0);
    CHECK(it.watch_limits.back() == seconds{30});
}

TEST_CASE("a store that forgets the watches of all nodes is noticed by one of them within 3 s") {
    // 71 nodes, woken by one change, wait for the next. The store forgets them all; the change that follows
    // is to be in force within 3 s, so one of them must ask again in that time, and peers see that it is
    // ahead.
    const auto random = seeded_random(3);
    std::vector<duration> ends;
    for (std::uint64_t seed = 1; seed <= 71; ++seed) {
        feed_fixture it{milliseconds{500}, seed};
        it.feed.start();
        it.answer_list(7);
        std::exchange(it.watching,
                      nullptr)(object_changes{object_version{8}, {{object_of(entry_of("a", 8)), false}}});
        it.pass(500);
        ends.push_back(it.watch_waits.back());
    }
    for (int n = 0; n < 100; ++n) {
        const duration forgotten = milliseconds{random() % 25'000};
        CAPTURE(to_milliseconds(forgotten));
        CHECK(std::any_of(ends.begin(), ends.end(),
                          [&](duration it) { return it >= forgotten && it <= forgotten + seconds{3}; }));
    }
}

TEST_CASE("a feed that nothing changes for asks the store about twice a minute") {
    feed_fixture it;
    it.feed.start();
    it.answer_list(7);
    const time_point end = it.timers.now() + seconds{600};
    while (it.timers.now() < end) {
        REQUIRE(it.watching);
        it.pass(to_milliseconds(it.watch_waits.back()));
        std::exchange(it.watching, nullptr)(object_changes{object_version{7}, {}});
        it.pass(0);
    }
    // Two feeds a node, and six calls a node and minute at most.
    CHECK(it.watched_from.size() <= 30);
}

TEST_CASE("a silent store is asked again soon, and a slow one is given ever more time") {
    feed_fixture it;
    it.feed.start();
    for (int n = 0; n < 5; ++n) {
        it.fail_list(store_error::unavailable);
        it.pass(2000);
    }
    REQUIRE(it.list_limits.size() == 6);
    CHECK(it.list_limits[0] == milliseconds{500});
    CHECK(it.list_limits[1] == milliseconds{1000});
    CHECK(it.list_limits[5] == milliseconds{4000});
}

} // namespace pollengrade
