/** @file object_watcher_test.cpp Listing and watching the platform's store, with outages and lost history. */
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

/** An object_watcher with calls to the store that the test answers. */
struct watcher_fixture {
    explicit watcher_fixture(duration min_interval = milliseconds{500}, std::uint64_t seed = 1)
        : watcher{timers, seeded_random(seed), min_interval, hooks()} {}

    object_watcher_hooks hooks() {
        object_watcher_hooks it;
        it.list = [this](duration limit, bool allow_stale, object_watcher_hooks::listed done) {
            list_limits.push_back(limit);
            list_allowed_stale.push_back(allow_stale);
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
        it.is_store_watcher = [this] { return is_store_watcher; };
        it.confirmed = [] {};
        return it;
    }

    void advance(std::int64_t ms) { timers.advance_to(timers.now() + milliseconds{ms}); }
    void answer_list(std::uint64_t revision) {
        std::exchange(listing, nullptr)(object_list{object_version{revision}, {}});
    }
    void fail_list(store_error ec) { std::exchange(listing, nullptr)(tl::unexpected{ec}); }
    void fail_watch(store_error ec) { std::exchange(watching, nullptr)(tl::unexpected{ec}); }

    timer_queue timers = paused_clock();
    object_watcher_hooks::listed listing;
    object_watcher_hooks::watched watching;
    std::vector<duration> list_limits;
    std::vector<bool> list_allowed_stale;
    std::vector<std::uint64_t> watched_from;
    std::vector<duration> watch_waits;
    std::vector<duration> watch_limits;
    std::vector<std::uint64_t> replaced;
    std::vector<std::uint64_t> changed;
    bool reached_now = false;
    bool is_store_watcher = true;
    object_watcher watcher;
};

} // namespace

TEST_CASE("a watcher lists once, then watches from the revision of the list") {
    watcher_fixture it;
    it.watcher.start();
    it.answer_list(7);
    CHECK(it.watched_from == std::vector<std::uint64_t>{7});
    std::exchange(it.watching, nullptr)(object_changes{object_version{9}, {}});
    it.advance(0);
    CHECK(it.watched_from == std::vector<std::uint64_t>{7, 9});
    CHECK(it.list_limits.size() == 1);
}

TEST_CASE("changes in quick succession cost one call") {
    watcher_fixture it;
    it.watcher.start();
    it.answer_list(7);
    std::exchange(it.watching,
                  nullptr)(object_changes{object_version{8}, {{object_of(entry_of("a", 8)), false}}});
    it.advance(499);
    CHECK(it.watched_from.size() == 1);
    it.advance(1);
    CHECK(it.watched_from == std::vector<std::uint64_t>{7, 8});
    CHECK(it.changed == std::vector<std::uint64_t>{8});
}

TEST_CASE("lost history causes a list at once, and the store counts as reached") {
    watcher_fixture it;
    it.watcher.start();
    it.answer_list(7);
    it.fail_watch(store_error::history_gone);
    CHECK(it.reached_now);
    CHECK(it.list_limits.size() == 2);
    it.answer_list(20);
    CHECK(it.watched_from == std::vector<std::uint64_t>{7, 20});
    // Only the first list may be stale: one after lost history must not be older than the known objects.
    CHECK(it.list_allowed_stale == std::vector<bool>{true, false});
}

TEST_CASE("a watch answered in a later era leads to a list although the revision exists again") {
    watcher_fixture it;
    it.watcher.start();
    std::exchange(it.listing, nullptr)(object_list{object_version{7, 1}, {}});
    std::exchange(it.watching,
                  nullptr)(object_changes{object_version{9, 2}, {{object_of(entry_of("a", 9)), false}}});
    CHECK(it.changed.empty());
    REQUIRE(it.list_limits.size() == 2);
    std::exchange(it.listing, nullptr)(object_list{object_version{6, 2}, {}});
    CHECK(it.replaced == std::vector<std::uint64_t>{7, 6});
    CHECK(it.watched_from == std::vector<std::uint64_t>{7, 6});
}

TEST_CASE("a failed watch is retried with backoff") {
    watcher_fixture it;
    it.watcher.start();
    it.answer_list(7);
    for (int n = 0; n < 500; ++n) {
        if (it.watching)
            it.fail_watch(store_error::unavailable);
        it.advance(10);
    }
    // An outage of 5 s: the backoff of 200 ms doubles up to 1.6 s; jitter takes up to half of it off.
    CHECK(it.watched_from.size() <= 9);
    CHECK(it.watched_from.size() >= 4);
}

TEST_CASE("recovery of a store that accepted calls without answering is detected within seconds") {
    watcher_fixture it;
    it.watcher.start();
    it.answer_list(7);
    CHECK(it.watch_waits.back() >= seconds{1});
    CHECK(it.watch_waits.back() <= seconds{28});
    CHECK(it.watch_limits.back() == it.watch_waits.back() + seconds{2});
    it.fail_watch(store_error::unavailable);
    CHECK_FALSE(it.reached_now);
    // The store does not answer for 10 s: each accepted call ends at its time limit.
    const time_point end = it.timers.now() + seconds{10};
    std::size_t silent = 0;
    while (it.timers.now() < end) {
        it.advance(100);
        if (!it.watching)
            continue;
        CHECK(it.watch_waits.back() == duration{0});
        CHECK(it.watch_limits.back() <= seconds{2});
        it.advance(to_milliseconds(it.watch_limits.back()));
        it.fail_watch(store_error::unavailable);
        REQUIRE(++silent < 20);
    }
    CHECK(silent >= 4);
    it.advance(1600);
    REQUIRE(it.watching);
    std::exchange(it.watching, nullptr)(object_changes{object_version{7}, {}});
    CHECK(it.reached_now);
    it.advance(0);
    CHECK(it.watch_waits.back() >= seconds{1});
    CHECK(it.watch_limits.back() == it.watch_waits.back() + seconds{2});
    it.advance(to_milliseconds(it.watch_waits.back()));
    std::exchange(it.watching, nullptr)(object_changes{object_version{7}, {}});
    it.advance(0);
    CHECK(it.watch_limits.back() == seconds{30});
}

TEST_CASE("if a store loses the watches of all nodes, one node calls it again within 3 s") {
    // One change ends the watches of 71 nodes, which then start new ones, and the store loses them all. The
    // next change must be in force within 3 s, so one node must call again in that time; its peers see that
    // it is ahead.
    const auto random = seeded_random(3);
    std::vector<duration> ends;
    for (std::uint64_t seed = 1; seed <= 71; ++seed) {
        watcher_fixture it{milliseconds{500}, seed};
        it.watcher.start();
        it.answer_list(7);
        std::exchange(it.watching,
                      nullptr)(object_changes{object_version{8}, {{object_of(entry_of("a", 8)), false}}});
        it.advance(500);
        ends.push_back(it.watch_waits.back());
    }
    for (int n = 0; n < 100; ++n) {
        const duration lost_at = milliseconds{random() % 25'000};
        CAPTURE(to_milliseconds(lost_at));
        CHECK(std::any_of(ends.begin(), ends.end(),
                          [&](duration it) { return it >= lost_at && it <= lost_at + seconds{3}; }));
    }
}

TEST_CASE("without changes, a watcher calls the store about twice a minute") {
    watcher_fixture it;
    it.watcher.start();
    it.answer_list(7);
    const time_point end = it.timers.now() + seconds{600};
    while (it.timers.now() < end) {
        REQUIRE(it.watching);
        it.advance(to_milliseconds(it.watch_waits.back()));
        std::exchange(it.watching, nullptr)(object_changes{object_version{7}, {}});
        it.advance(0);
    }
    // A node has two watchers and may make six calls per minute.
    CHECK(it.watched_from.size() <= 30);
}

TEST_CASE("a failed list is retried soon, with a time limit that doubles up to 4 s") {
    watcher_fixture it;
    it.watcher.start();
    for (int n = 0; n < 5; ++n) {
        it.fail_list(store_error::unavailable);
        it.advance(2000);
    }
    REQUIRE(it.list_limits.size() == 6);
    CHECK(it.list_limits[0] == milliseconds{500});
    CHECK(it.list_limits[1] == milliseconds{1000});
    CHECK(it.list_limits[5] == milliseconds{4000});
}

TEST_CASE("a check finds changes that a lost watch does not bring, and the watch starts again") {
    watcher_fixture it;
    it.watcher.start();
    it.answer_list(7);
    const auto lost = std::exchange(it.watching, nullptr);
    it.watcher.check();
    CHECK(it.watch_waits.back() == duration{0});
    const time_point asked_at = it.timers.now();
    it.advance(4);
    std::exchange(it.watching,
                  nullptr)(object_changes{object_version{8}, {{object_of(entry_of("a", 8)), false}}});
    CHECK(it.changed == std::vector<std::uint64_t>{8});
    CHECK(it.watcher.confirmed_at() == asked_at);
    it.advance(500);
    REQUIRE(it.watching);
    CHECK(it.watched_from.back() == 8);
    lost(tl::unexpected{store_error::unavailable}); // The end of the lost watch changes nothing.
    CHECK(it.reached_now);
}

// CONFIG: a store watcher noticed after 30 s that the store was silent.
TEST_CASE("a check that the store does not answer ends the watch, and the store counts as not reached") {
    watcher_fixture it;
    it.watcher.start();
    it.answer_list(7);
    it.watcher.check();
    it.fail_watch(store_error::unavailable);
    CHECK_FALSE(it.reached_now);
    it.advance(200);
    REQUIRE(it.watching);
    CHECK(it.watch_waits.back() == duration{0});
    std::exchange(it.watching, nullptr)(object_changes{object_version{9}, {}});
    CHECK(it.reached_now);
}

TEST_CASE("a check that finds another history leads to a list") {
    watcher_fixture it;
    it.watcher.start();
    it.answer_list(7);
    it.watcher.check();
    std::exchange(it.watching, nullptr)(object_changes{object_version{5, 1}, {}});
    REQUIRE(it.listing);
    it.answer_list(9);
    CHECK(it.replaced == std::vector<std::uint64_t>{7, 9});
}

TEST_CASE("a store that answers lists but not watches is listed while the watches fail") {
    watcher_fixture it;
    it.watcher.start();
    it.answer_list(7);
    for (int n = 0; n < 4; ++n) {
        REQUIRE(it.watching);
        it.fail_watch(store_error::unavailable);
        it.advance(1600);
    }
    REQUIRE(it.listing);
    it.answer_list(9);
    CHECK(it.replaced == std::vector<std::uint64_t>{7, 9});
}

TEST_CASE("a node that ceased to watch the store while its calls failed still checks the store") {
    watcher_fixture it;
    it.watcher.start();
    it.answer_list(7);
    it.fail_watch(store_error::unavailable);
    it.is_store_watcher = false;
    it.watcher.on_store_watcher_changed();
    it.advance(2000);
    REQUIRE_FALSE(it.watching);
    it.watcher.check();
    REQUIRE(it.watching);
    std::exchange(it.watching,
                  nullptr)(object_changes{object_version{8}, {{object_of(entry_of("a", 8)), true}}});
    CHECK(it.changed == std::vector<std::uint64_t>{8});
    CHECK(it.reached_now);
    it.is_store_watcher = true;
    it.watcher.on_store_watcher_changed();
    REQUIRE(it.watching);
    CHECK(it.watched_from.back() == 8);
}

} // namespace pollengrade
