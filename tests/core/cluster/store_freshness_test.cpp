/** @file store_freshness_test.cpp Nodes that rely on others to watch the store notice when these can't. */
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/cluster/store_freshness.h"
#include "runtime/random_source.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration apply_limit = seconds{3};
constexpr duration store_delay = milliseconds{4};
constexpr duration check_timeout = milliseconds{500};
constexpr duration one_way = milliseconds{2};

/** Nodes of which the first ones watch the store, and a store that is silent to some of them. */
struct fleet {
    fleet(std::size_t node_count, std::size_t watcher_count)
        : watchers{watcher_count}, silent(node_count, false) {
        for (std::size_t n = 0; n < node_count; ++n) {
            nodes.push_back(std::make_unique<store_freshness>(timers, log, counts, seeded_random(n + 1),
                                                              apply_limit, hooks_of(n)));
            nodes.back()->set_needed(true);
        }
    }

    void silence(std::size_t from, std::size_t to, bool is_silent) {
        std::fill(silent.begin() + static_cast<std::ptrdiff_t>(from),
                  silent.begin() + static_cast<std::ptrdiff_t>(to), is_silent);
    }
    /** Nodes probe a random other one each second, as membership does. */
    void run(duration span) {
        const time_point end = timers.now() + span;
        while (timers.now() < end) {
            timers.advance_to(timers.now() + milliseconds{100});
            for (std::size_t n = 0; n < nodes.size(); ++n) {
                if (random() % 10 == 0)
                    ask(n, random() % nodes.size());
            }
            for (std::size_t n = 0; n < nodes.size(); ++n) {
                if (!silent[n])
                    oldest = std::max(oldest, nodes[n]->age().value_or(duration{0}));
            }
        }
    }
    [[nodiscard]] std::size_t acting() const {
        return static_cast<std::size_t>(
            std::count_if(nodes.begin(), nodes.end(), [](const auto& it) { return it->is_acting(); }));
    }

    timer_queue timers = paused_clock();
    event_log log{[] { return paused_wall_time; }};
    metrics counts;
    std::size_t store_checks = 0; ///< checks that all nodes have sent to the store
    duration oldest{0};           ///< greatest age of a confirmation at the nodes that the store answers

    freshness_hooks hooks_of(std::size_t n) {
        freshness_hooks it;
        it.watcher_rank = [this, n] { return n < watchers ? std::optional{n} : std::nullopt; };
        it.node_count = [this] { return nodes.size(); };
        it.ask_watcher = [this, n](std::uint32_t asked_before) {
            ask(n, n < watchers ? (n == 0 ? 1 : asked_before % 2 % n) : (n + asked_before) % watchers);
        };
        it.ask = [this, n](const node_address& to) { ask(n, std::stoul(to.value())); };
        it.tell_watchers = [this, n] {
            for (std::size_t to = 0; to < watchers; ++to)
                ask(n, to);
        };
        it.check_store = [this, n] {
            ++store_checks;
            if (silent[n])
                return;
            timers.schedule_after(
                store_delay, [this, n, asked_at = timers.now()] { nodes[n]->on_store_answer(asked_at); });
        };
        it.became_acting = [] {};
        return it;
    }

    void ask(std::size_t from, std::size_t to) {
        if (from == to || to >= nodes.size())
            return;
        const time_point asked_at = timers.now();
        timers.schedule_after(one_way, [this, from, to, asked_at, probed = nodes[from]->age()] {
            const auto age = nodes[to]->age();
            if (probed)
                nodes[to]->on_peer_probe(node_address{std::to_string(from)}, *probed);
            timers.schedule_after(one_way, [this, from, age, asked_at] {
                if (age)
                    nodes[from]->on_peer_answer(asked_at, *age);
            });
        });
    }

    std::function<std::uint64_t()> random = seeded_random(7);
    std::size_t watchers;
    std::vector<bool> silent;
    std::vector<std::unique_ptr<store_freshness>> nodes;
};

} // namespace

TEST_CASE("freshness: on a calm day the first watcher alone checks the store, at a constant rate") {
    for (const std::size_t nodes : {4U, 30U, 300U}) {
        fleet it{nodes, std::min<std::size_t>(nodes / 2, 10)};
        it.run(seconds{2});
        it.store_checks = 0;
        it.oldest = duration{0};
        it.run(seconds{30});
        CAPTURE(nodes);
        CHECK(it.store_checks <= 61);
        CHECK(it.oldest < apply_limit / 2);
        CHECK(it.acting() == 0);
    }
}

// CONFIG: nodes acted on old routes and servers for as long as the store was silent to the only watcher.
TEST_CASE("freshness: a store that is silent to every watcher is noticed in half of the time for changes") {
    for (const auto& sizes : std::map<std::size_t, std::size_t>{{4, 1}, {6, 2}, {75, 6}}) {
        const std::size_t nodes = sizes.first;
        const std::size_t watchers = sizes.second;
        fleet it{nodes, watchers};
        it.run(seconds{5});
        it.silence(0, watchers, true);
        it.run(apply_limit / 2 + check_timeout);
        CAPTURE(nodes);
        CHECK(it.acting() >= 1);
        it.oldest = duration{0};
        it.run(seconds{20});
        CHECK(it.oldest < apply_limit);
        // Once the watchers are answered again, they do it alone.
        it.silence(0, watchers, false);
        it.run(seconds{15});
        CHECK(it.acting() == 0);
    }
}

TEST_CASE("freshness: if the store is silent to the first watcher, the next one checks in its place") {
    fleet it{30, 6};
    it.run(seconds{5});
    it.silence(0, 1, true);
    it.oldest = duration{0};
    it.run(seconds{20});
    CHECK(it.oldest < apply_limit);
    CHECK(it.acting() <= 2);
}

TEST_CASE("freshness: if the store answers nobody, the nodes together check it at a bounded rate") {
    fleet it{560, 14};
    it.run(seconds{5});
    it.silence(0, 560, true);
    it.run(seconds{2});
    it.store_checks = 0;
    it.run(seconds{10});
    // Ten a second by all nodes together, and two a second by each of the first watchers.
    CHECK(it.store_checks <= 10 * (10 + 2 * 2) * 11 / 10);
    CHECK(it.acting() == 0);
}

TEST_CASE("freshness: a node that has no confirmation passes none on") {
    fleet it{4, 1};
    it.silence(0, 4, true);
    it.run(seconds{1});
    CHECK(it.oldest == duration{0});
}

} // namespace pollengrade
