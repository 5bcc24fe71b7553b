/** @file reply_memory_test.cpp Which replies are read, wait or are given up when memory is short. */
#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/upstreams/reply_memory.h"
#include "runtime/random_source.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

constexpr std::size_t kilobyte = 1000;
constexpr std::size_t limit = 8000 * kilobyte;
constexpr std::size_t large_body = 1900 * kilobyte; ///< three of them may be admitted

/** Replies under way, and what became of them. */
struct reply_fixture {
    connection_id begin() { return connection_id{++begun}; }
    bool read(connection_id id, std::size_t held, std::optional<std::size_t> body = std::nullopt) {
        return replies.on_bytes(id, {held, body});
    }
    void advance(std::int64_t ms) { timers.advance_to(timers.now() + std::chrono::milliseconds{ms}); }

    timer_queue timers = paused_clock();
    event_log log{[] { return wall_time{}; }};
    metrics counts;
    std::set<connection_id> given_up;
    std::set<connection_id> resumed;
    std::uint64_t begun = 0;
    reply_memory replies{limit,
                         timers,
                         log,
                         counts,
                         {[this](connection_id id) { given_up.insert(id); },
                          [this](connection_id id) { resumed.insert(id); },
                          [](connection_id) {
                              return reply_origin{upstream_id{"s"}, request_id{"r"}};
                          }}};
};

} // namespace

TEST_CASE("of replies without a length, the one that holds most is given up first") {
    reply_fixture it;
    const connection_id small = it.begin();
    const connection_id large = it.begin();
    const connection_id larger = it.begin();
    CHECK(it.read(small, 10 * kilobyte));
    CHECK(it.read(large, 3900 * kilobyte));
    CHECK(it.read(larger, 4000 * kilobyte));
    CHECK(it.read(small, 90 * kilobyte));
    CHECK(it.given_up.empty());
    CHECK(it.read(small, 110 * kilobyte));
    CHECK(it.given_up == std::set{larger});
    CHECK(it.replies.counted() == 4010 * kilobyte);
    CHECK(it.counts.value("replies_given_up", "no_length") == 1);
    CHECK(it.log.events().back().kind == event_kind::reply_given_up);
    CHECK(it.log.events().back().subject == "s");
    CHECK(it.log.events().back().request.value() == "r");
}

TEST_CASE("a reply without a length that alone exceeds the memory is given up itself") {
    reply_fixture it;
    const connection_id id = it.begin();
    CHECK_FALSE(it.read(id, limit + 1));
    CHECK(it.given_up == std::set{id});
    CHECK(it.replies.counted() == 0);
}

TEST_CASE("large bodies with a length wait for room in their order, and none is given up") {
    reply_fixture it;
    std::vector<connection_id> ids;
    for (int n = 0; n < 5; ++n) {
        ids.push_back(it.begin());
        CHECK(it.read(ids.back(), kilobyte, large_body) == (n < 3));
    }
    it.replies.end(ids[1]);
    CHECK(it.resumed == std::set{ids[3]});
    it.replies.end(ids[4]);
    it.replies.end(ids[0]);
    CHECK(it.resumed == std::set{ids[3]});
    CHECK(it.given_up.empty());
    it.replies.end(ids[2]);
    it.replies.end(ids[3]);
    CHECK(it.replies.counted() == 0);
}

TEST_CASE("a small reply is read at once while large ones wait") {
    reply_fixture it;
    for (int n = 0; n < 5; ++n)
        (void)it.read(it.begin(), kilobyte, large_body);
    CHECK(it.read(it.begin(), kilobyte, 60 * kilobyte));
    CHECK(it.read(it.begin(), 100, 0));
    CHECK(it.read(it.begin(), kilobyte));
}

TEST_CASE(
    "replies that state a length, but hold more than there is room for, are given up after all others") {
    reply_fixture it;
    const connection_id endless = it.begin();
    CHECK(it.read(endless, kilobyte));
    std::vector<connection_id> large_heads;
    for (std::size_t n = 0; n < 8; ++n) {
        large_heads.push_back(it.begin());
        CHECK(it.read(large_heads.back(), (900 + n) * kilobyte, 10));
    }
    CHECK_FALSE(it.read(it.begin(), 1000 * kilobyte, 10));
    CHECK(it.given_up.size() == 2);
    CHECK(it.given_up.contains(endless));
    CHECK(it.replies.counted() <= limit);
    CHECK(it.counts.value("replies_given_up", "no_room") == 1);
}

TEST_CASE("replies without a length make room for a large body whose length is known") {
    reply_fixture it;
    const connection_id endless = it.begin();
    CHECK(it.read(endless, 7000 * kilobyte));
    CHECK(it.read(it.begin(), kilobyte, large_body));
    CHECK(it.given_up == std::set{endless});
}

TEST_CASE("a large reply whose server has stalled makes room for the replies that wait, after a while") {
    reply_fixture it;
    const connection_id stalled = it.begin();
    const connection_id slow = it.begin();
    const connection_id other = it.begin();
    const connection_id waiting = it.begin();
    for (const connection_id id : {stalled, slow, other, waiting})
        (void)it.read(id, kilobyte, large_body);
    for (std::size_t n = 0; n < 20; ++n) {
        it.advance(20);
        CHECK(it.read(slow, (n + 2) * kilobyte, large_body));
        CHECK(it.read(other, (n + 2) * kilobyte, large_body));
    }
    CHECK(it.given_up == std::set{stalled});
    CHECK(it.resumed == std::set{waiting});
    CHECK(it.counts.value("replies_given_up", "stalled") == 1);
    CHECK_FALSE(it.timers.next_deadline().has_value());
}

TEST_CASE("a stalled reply is kept while no other waits for its room") {
    reply_fixture it;
    (void)it.read(it.begin(), kilobyte, large_body);
    it.advance(10000);
    CHECK(it.given_up.empty());
}

TEST_CASE("the count is the sum of what is held, whatever the order of events, and stays within the limit") {
    constexpr std::size_t read_size = 16 * kilobyte;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        auto random = seeded_random(seed);
        reply_fixture it;
        std::map<connection_id, reply_extent> open;
        std::size_t most = 0;
        for (int step = 0; step < 4000; ++step) {
            it.advance(static_cast<std::int64_t>(random() % 30));
            for (const connection_id id : it.given_up)
                open.erase(id);
            const std::uint64_t choice = random() % 32;
            if (choice == 0 || open.empty()) {
                reply_extent extent;
                if (const std::uint64_t kind = random() % 3; kind > 0)
                    extent.body_bytes = random() % (kind == 1 ? 4000 * kilobyte : 60 * kilobyte);
                open[it.begin()] = extent;
                continue;
            }
            const auto which = std::next(open.begin(), static_cast<std::ptrdiff_t>(random() % open.size()));
            reply_extent& extent = which->second;
            const bool is_complete = extent.body_bytes && extent.held == *extent.body_bytes;
            if (choice == 1 || is_complete) {
                it.replies.end(which->first);
                open.erase(which);
                continue;
            }
            const std::size_t before = extent.held;
            // Of an endless reply a lot may have been read since its last turn.
            extent.held += extent.body_bytes ? read_size : random() % (40 * read_size);
            extent.held = std::min(extent.held, extent.body_bytes.value_or(extent.held));
            if (!it.replies.on_bytes(which->first, extent) && before > 0)
                extent.held = before; // It waits, and is not read.
            most = std::max(most, it.replies.counted());
        }
        CHECK(most <= limit);
        CHECK(most > limit / 2);
        for (const auto& [id, extent] : open)
            it.replies.end(id);
        CHECK(it.replies.counted() == 0);
    }
}

} // namespace pollengrade
