/** @file lost_watch_test.cpp Nodes that all watch the store, and watches that the store has lost: they look
 * like quiet ones until they end. */
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/cluster/object_watcher.h"
#include "core/cluster/registry_sync.h"
#include "core/cluster/store_freshness.h"
#include "core/cluster/store_watch_order.h"
#include "core/upstreams/registry.h"
#include "runtime/random_source.h"
#include "support/fake_node.h"
#include "support/server_entries.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration apply_limit = seconds{3};
constexpr duration store_delay = milliseconds{4};
constexpr duration one_way = milliseconds{2};
constexpr duration gossip_interval = seconds{1};
constexpr duration servers_min_interval = milliseconds{500};

node_address address_of(std::size_t n) {
    return node_address{"127.0.0.1:" + std::to_string(9001 + n)};
}

/** One entry, and the watches that wait for its changes. */
class one_entry_store {
public:
    explicit one_entry_store(timer_queue& timers) : timers_{timers} {}

    void list(const object_watcher_hooks::listed& done) {
        timers_.schedule_after(store_delay, [this, done] { done(object_list{revision(), {object()}}); });
    }
    void watch(std::size_t node, object_version after, duration wait, duration limit,
               const object_watcher_hooks::watched& done) {
        if (after < revision()) {
            timers_.schedule_after(store_delay, [this, done] { done(changes()); });
            return;
        }
        if (wait.count() == 0) {
            timers_.schedule_after(store_delay, [this, done] { done(object_changes{revision(), {}}); });
            return;
        }
        const auto call = std::make_shared<waiting>(waiting{node, done, false});
        calls_.push_back(call);
        timers_.schedule_after(wait, [this, call] {
            if (!call->is_lost)
                answer(call, object_changes{revision(), {}});
        });
        timers_.schedule_after(limit,
                               [this, call] { answer(call, tl::unexpected{store_error::unavailable}); });
    }
    /** The server reports that it drains. */
    void drain() {
        entry_.is_leaving = true;
        entry_.version = object_version{entry_.version.value() + 1};
        for (const auto& it : calls_) {
            if (!it->is_lost)
                timers_.schedule_after(store_delay, [this, it] { answer(it, changes()); });
        }
    }
    /** Loses the watches of a node that wait now; they end at their time limit. */
    void lose_watches(std::size_t node) {
        for (const auto& it : calls_)
            it->is_lost = it->is_lost || it->node == node;
    }

private:
    /** A watch that waits. */
    struct waiting {
        std::size_t node = 0;
        object_watcher_hooks::watched done;
        bool is_lost = false;
    };

    void answer(const std::shared_ptr<waiting>& call,
                const tl::expected<object_changes, store_error>& result) {
        if (std::erase(calls_, call) > 0)
            call->done(result);
    }
    [[nodiscard]] object_version revision() const { return entry_.version; }
    [[nodiscard]] stored_object object() const { return object_of(entry_); }
    [[nodiscard]] object_changes changes() const { return {revision(), {{object(), false}}}; }

    timer_queue& timers_;
    server_entry entry_ = entry_of("a", 7);
    std::vector<std::shared_ptr<waiting>> calls_;
};

class fleet;

/** What of a node keeps the registry current, connected as in daemon/cluster.cpp and daemon/node.cpp. */
struct watching_node {
    watching_node(fleet& world, std::size_t index, std::uint64_t seed);

    [[nodiscard]] node_knowledge knowledge() const { return {0, servers.changed_at(), freshness.age()}; }
    [[nodiscard]] bool knows_departure() const {
        const auto it = servers.entries().find("a");
        return it != servers.entries().end() && it->second.is_leaving;
    }
    /** Takes a gossip message; its reply also shows how old the peer's confirmation is. */
    void take(const gossip_message& from, std::optional<time_point> asked_at) {
        sync.on_gossip(from);
        const auto& peer = from.knowledge;
        if (asked_at && peer.confirmation_age) {
            sync.on_store_answered_peer(*asked_at - *peer.confirmation_age);
            if (peer.registry_changed <= servers.revision())
                freshness.on_peer_answer(*asked_at, *peer.confirmation_age);
        }
    }

    event_log log{[] { return paused_wall_time; }};
    metrics counts;
    registry servers;
    registry_sync sync;
    store_watch_order order;
    store_freshness freshness;
    object_watcher watcher;
};

/** Nodes that all watch one store. */
class fleet {
public:
    fleet(std::size_t size, std::uint64_t seed) : random_{seeded_random(seed)} {
        std::vector<node_address> live;
        for (std::size_t n = 0; n < size; ++n)
            live.push_back(address_of(n));
        for (std::size_t n = 0; n < size; ++n) {
            nodes_.push_back(std::make_unique<watching_node>(*this, n, random_()));
            nodes_.back()->order.set(false, {}, live);
            nodes_.back()->freshness.set_needed(nodes_.back()->order.needs_confirmations());
            nodes_.back()->watcher.start();
            gossip_later(n);
        }
    }

    void advance(duration span) { timers_.advance_to(timers_.now() + span); }
    timer_queue& timers() { return timers_; }
    one_entry_store& store() { return store_; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    watching_node& at(std::size_t n) { return *nodes_.at(n); }
    std::size_t index_of(const node_address& it) {
        for (std::size_t n = 0; n < size(); ++n) {
            if (address_of(n) == it)
                return n;
        }
        return size();
    }
    std::size_t other_than(std::size_t n) { return (n + 1 + random_() % (size() - 1)) % size(); }

    /** Exchanges gossip between two nodes. */
    void gossip(std::size_t from, std::size_t to) {
        const time_point asked_at = timers_.now();
        timers_.schedule_after(one_way, [this, from, to, asked_at] {
            at(to).take(message_of(from), std::nullopt);
            timers_.schedule_after(
                one_way, [this, from, asked_at, reply = message_of(to)] { at(from).take(reply, asked_at); });
        });
    }

private:
    gossip_message message_of(std::size_t n) {
        gossip_message it;
        it.sender.address = address_of(n);
        it.knowledge = at(n).knowledge();
        return it;
    }
    void gossip_later(std::size_t n) {
        const duration jitter{static_cast<duration::rep>(random_() % 100'000)};
        timers_.schedule_after(gossip_interval - milliseconds{50} + jitter, [this, n] {
            gossip(n, other_than(n));
            gossip_later(n);
        });
    }

    timer_queue timers_ = paused_clock();
    std::function<std::uint64_t()> random_;
    one_entry_store store_{timers_};
    std::vector<std::unique_ptr<watching_node>> nodes_;
};

registry_sync_hooks sync_hooks(fleet& world, std::size_t index) {
    registry_sync_hooks it;
    it.pull = [&world](const node_address& from, object_version later_than,
                       const registry_sync_hooks::pulled& done) {
        world.timers().schedule_after(2 * one_way, [&world, n = world.index_of(from), later_than, done] {
            done(world.at(n).servers.update_after(later_than));
        });
    };
    it.draw = [&world, index] { return std::optional{address_of(world.other_than(index))}; };
    it.update_applied = [] {};
    return it;
}

freshness_hooks hooks_of(fleet& world, watching_node& node, std::size_t index) {
    freshness_hooks it;
    it.watcher_rank = [&node] { return node.order.rank(); };
    it.node_count = [&world] { return world.size(); };
    it.ask_watcher = [&world, &node, index](std::uint32_t asked_before) {
        std::vector<node_address> others = node.order.watchers();
        std::erase(others, address_of(index));
        world.gossip(index,
                     world.index_of(others.at(asked_before % std::min<std::size_t>(2, others.size()))));
    };
    it.ask = [&world, index](const node_address& to) { world.gossip(index, world.index_of(to)); };
    it.tell_watchers = [] {};
    it.check_store = [&node] { node.watcher.check(); };
    it.became_acting = [] {};
    return it;
}

object_watcher_hooks watch_hooks(fleet& world, watching_node& node, std::size_t index) {
    object_watcher_hooks it;
    it.list = [&world](duration, bool, const object_watcher_hooks::listed& done) {
        world.store().list(done);
    };
    it.watch = [&world, index](object_version after, duration wait, duration limit,
                               const object_watcher_hooks::watched& done) {
        world.store().watch(index, after, wait, limit, done);
    };
    it.replaced = [&node](const object_list& list) { node.servers.replace(list); };
    it.changed = [&node](const object_changes& changes) { node.servers.apply(changes); };
    it.reached = [&node](bool reached) { node.sync.on_store_reached(reached); };
    it.is_store_watcher = [] { return true; };
    it.confirmed = [&node] { node.freshness.on_store_answer(node.watcher.confirmed_at()); };
    return it;
}

watching_node::watching_node(fleet& world, std::size_t index, std::uint64_t seed)
    : servers{world.timers(), log, counts, [](const server_entry&, bool) {}}, sync{world.timers(), counts,
                                                                                   servers,
                                                                                   sync_hooks(world, index)},
      order{address_of(index)}, freshness{world.timers(),      log,         counts,
                                          seeded_random(seed), apply_limit, hooks_of(world, *this, index)},
      watcher{world.timers(), seeded_random(seed + 1), servers_min_interval,
              watch_hooks(world, *this, index)} {}

/** Plays a fleet of which the first nodes lose their watches some seconds before a server drains.
 * @return how many nodes do not know it in time */
std::size_t late_nodes(std::size_t size, std::size_t losing, std::uint64_t seed) {
    fleet it{size, seed};
    it.advance(seconds{5} + milliseconds{seed * 37 % 1000});
    for (std::size_t n = 0; n < losing; ++n)
        it.store().lose_watches(n);
    it.advance(seconds{4});
    it.store().drain();
    it.advance(apply_limit);
    std::size_t late = 0;
    for (std::size_t n = 0; n < size; ++n)
        late += it.at(n).knows_departure() ? 0U : 1U;
    return late;
}

} // namespace

TEST_CASE("nodes whose watches the store has lost learn in time that a server drains") {
    std::size_t late = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        late += late_nodes(6, 6, seed);
        late += late_nodes(6, 5, seed);
        late += late_nodes(6, 2, seed);
        late += late_nodes(2, 2, seed);
    }
    CHECK(late == 0);
}

TEST_CASE("nodes whose watches work learn at once that a server drains") {
    CHECK(late_nodes(6, 0, 1) == 0);
}

} // namespace pollengrade
