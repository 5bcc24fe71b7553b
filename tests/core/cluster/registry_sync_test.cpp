/** @file registry_sync_test.cpp Registry updates from the store and from peers. */
#include <doctest/doctest.h>

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/cluster/registry_sync.h"
#include "core/upstreams/registry.h"
#include "runtime/random_source.h"
#include "support/fake_node.h"
#include "support/server_entries.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

constexpr duration outage = std::chrono::seconds{10}; ///< long enough for entries to lapse

/** @return an update with all entries, as a peer sends it. */
registry_update full_update(std::uint64_t revision, const std::vector<server_entry>& entries) {
    registry_update it{object_version{revision}, true, {}};
    for (const server_entry& entry : entries)
        it.items.push_back({entry, entry_state::present});
    return it;
}

/** A registry that records which servers it adds and removes. */
struct registry_fixture {
    void advance(std::int64_t ms) { timers.advance_to(timers.now() + milliseconds{ms}); }
    void list(std::uint64_t revision, const std::vector<server_entry>& entries) {
        object_list list{object_version{revision}, {}};
        for (const server_entry& it : entries)
            list.objects.push_back(object_of(it));
        servers.replace(list);
    }
    void change(std::uint64_t revision, const server_entry& entry, bool removed) {
        servers.apply({object_version{revision}, {{object_of(entry), removed}}});
    }

    timer_queue timers = paused_clock();
    event_log log{[] { return wall_time{}; }};
    metrics counts;
    std::vector<std::string> gone;
    std::vector<std::string> put;
    registry servers{
        timers, log, counts, [this](const server_entry& entry, bool removed) {
            (removed ? gone : put).push_back(entry.name + "@" + std::to_string(entry.started_ms));
        }};
};

/** Hooks of a node that knows no other node. */
registry_sync_hooks hooks_without_peers() {
    registry_sync_hooks it;
    it.draw = [] { return std::optional<node_address>{}; };
    it.update_applied = [] {};
    return it;
}

} // namespace

TEST_CASE("neither the store nor a peer changes the registry with an older revision") {
    registry_fixture it;
    it.list(10, {entry_of("a", 3), entry_of("b", 4)});
    it.change(12, entry_of("a", 3), true);
    CHECK_FALSE(it.servers.take(full_update(11, {entry_of("a", 3), entry_of("b", 4)})));
    it.list(9, {entry_of("a", 3)});
    CHECK(it.servers.entries().size() == 1);
    CHECK(it.servers.take(full_update(13, {entry_of("b", 4), entry_of("c", 13)})));
    CHECK(it.servers.entries().contains("c"));
    CHECK(it.gone == std::vector<std::string>{"a@1"});
}

TEST_CASE("a server restarted under the same name replaces the previous one") {
    registry_fixture it;
    it.list(10, {entry_of("a", 3, 1)});
    it.change(11, entry_of("a", 11, 2), false);
    CHECK(it.put == std::vector<std::string>{"a@1", "a@2"});
    CHECK(it.gone == std::vector<std::string>{"a@1"});
}

TEST_CASE("entries that expired during a store outage are removed only after a delay for reregistration") {
    registry_fixture it;
    it.list(10, {entry_of("a", 3), entry_of("b", 4), entry_of("c", 5)});
    it.servers.on_store_regained(outage);
    it.change(11, entry_of("a", 3), true);
    it.change(12, entry_of("b", 4), true);
    it.advance(2000);
    CHECK(it.gone.empty());
    it.change(13, entry_of("a", 13), false);
    it.advance(499);
    CHECK(it.gone.empty());
    it.advance(1);
    CHECK(it.gone == std::vector<std::string>{"b@1"});
    it.change(14, entry_of("c", 5), true);
    CHECK(it.gone == std::vector<std::string>{"b@1", "c@1"});
}

TEST_CASE("a removal from a peer and again from the watch removes a reregistered server on no node") {
    // After an outage, the entry expired and was registered again. The node receives both changes from a
    // peer, then both again from its watch, with a later revision.
    const server_entry lapsed = entry_of("a", 3);
    const server_entry rewritten = entry_of("a", 14);
    registry_fixture node;
    registry_fixture peer;
    node.list(10, {lapsed});
    peer.list(10, {lapsed});
    const registry_update both{object_version{20},
                               false,
                               {{lapsed, entry_state::removal_pending}, {rewritten, entry_state::present}}};
    REQUIRE(node.servers.take(both));
    REQUIRE(peer.servers.take(both));
    node.servers.on_store_regained(outage);
    node.servers.apply({object_version{21}, {{object_of(lapsed), true}, {object_of(rewritten), false}}});
    peer.servers.take(node.servers.update_after(peer.servers.revision()));
    peer.advance(10'000);
    node.advance(10'000);
    CHECK(node.gone.empty());
    CHECK(peer.gone.empty());
}

TEST_CASE("a change from the store that is older than the entry from a peer is ignored") {
    registry_fixture node;
    node.list(10, {entry_of("a", 3, 1)});
    REQUIRE(node.servers.take({object_version{20}, false, {{entry_of("a", 14, 2), entry_state::present}}}));
    node.put.clear();
    node.gone.clear();
    node.servers.apply(
        {object_version{21},
         {{object_of(entry_of("a", 12, 1)), false}, {object_of(entry_of("a", 14, 2)), false}}});
    CHECK(node.put.empty());
    CHECK(node.gone.empty());
}

TEST_CASE("a cancelled removal is sent to peers that know of the pending removal") {
    registry_fixture node;
    registry_fixture peer;
    node.list(10, {entry_of("a", 3)});
    peer.list(10, {entry_of("a", 3)});
    node.servers.on_store_regained(outage);
    node.change(11, entry_of("a", 3), true);
    peer.servers.take(node.servers.update_after(object_version{10}));
    // A later list contains the same entry, so the pending removal is cancelled.
    node.list(12, {entry_of("a", 3)});
    peer.servers.take(node.servers.update_after(peer.servers.revision()));
    peer.advance(10'000);
    CHECK(peer.gone.empty());
}

TEST_CASE("a pending removal forwarded from node to node takes effect on all nodes at the same time") {
    registry_fixture node;
    registry_fixture peer;
    registry_fixture far;
    for (registry_fixture* it : {&node, &peer, &far})
        it->list(10, {entry_of("a", 3)});
    node.servers.on_store_regained(outage);
    node.change(11, entry_of("a", 3), true);
    const auto advance = [&](std::int64_t ms) {
        for (registry_fixture* it : {&node, &peer, &far})
            it->advance(ms);
    };
    advance(1500);
    peer.servers.take(node.servers.update_after(object_version{10}));
    advance(900);
    far.servers.take(peer.servers.update_after(object_version{10}));
    CHECK(far.gone.empty());
    advance(100);
    for (const registry_fixture* it : {&node, &peer, &far})
        CHECK(it->gone == std::vector<std::string>{"a@1"});
}

TEST_CASE("nodes that watch the store independently and exchange updates converge to the same servers") {
    // A watch may deliver a change again that the node has already received from a peer.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        const auto random = seeded_random(seed);
        std::array<registry_fixture, 3> nodes;
        std::array<std::size_t, 3> read{};
        std::map<std::string, server_entry> store;
        std::vector<object_change> events;
        std::uint64_t revision = 1;
        for (registry_fixture& it : nodes)
            it.list(revision, {});
        const auto watch = [&](std::size_t n) {
            const object_changes changes{
                object_version{revision},
                {events.begin() + static_cast<std::ptrdiff_t>(read.at(n)), events.end()}};
            read.at(n) = events.size();
            nodes.at(n).servers.apply(changes);
        };
        for (int step = 0; step < 300; ++step) {
            const std::string name(1, static_cast<char>('a' + random() % 8));
            registry_fixture& node = nodes.at(random() % nodes.size());
            registry_fixture& other = nodes.at(random() % nodes.size());
            switch (random() % 7) {
            case 0:
                ++revision;
                if (const auto gone = store.extract(name); !gone.empty())
                    events.push_back({object_of(gone.mapped()), true});
                break;
            case 1:
                node.servers.on_store_regained(outage);
                break;
            case 2:
                node.advance(static_cast<std::int64_t>(random() % 3000));
                break;
            case 3:
            case 4:
                other.servers.take(node.servers.update_after(other.servers.revision()));
                break;
            case 5:
                watch(random() % nodes.size());
                break;
            default:
                ++revision;
                store[name] = entry_of(name, revision, static_cast<std::int64_t>(1 + random() % 3));
                events.push_back({object_of(store[name]), false});
                break;
            }
        }
        ++revision;
        store["last"] = entry_of("last", revision);
        events.push_back({object_of(store["last"]), false});
        watch(0);
        nodes[1].servers.take(nodes[0].servers.update_after(nodes[1].servers.revision()));
        nodes[2].servers.take(nodes[1].servers.update_after(nodes[2].servers.revision()));
        for (registry_fixture& it : nodes) {
            it.advance(3000);
            CHECK(it.servers.entries() == store);
        }
    }
}

TEST_CASE("nodes that exchange updates converge to the servers of one node that watches the store") {
    // One node watches the store; the other two receive updates only from it and each other, at random times.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        const auto random = seeded_random(seed);
        registry_fixture watching;
        registry_fixture near;
        registry_fixture far;
        std::map<std::string, server_entry> store;
        std::uint64_t revision = 1;
        watching.list(revision, {});
        const auto sync = [](registry_fixture& from, registry_fixture& to) {
            to.servers.take(from.servers.update_after(to.servers.revision()));
        };
        for (int step = 0; step < 300; ++step) {
            const std::string name(1, static_cast<char>('a' + random() % 8));
            ++revision;
            switch (random() % 8) {
            case 0:
                if (store.erase(name) > 0)
                    watching.change(revision, entry_of(name, revision), true);
                break;
            case 1:
                watching.servers.on_store_regained(outage);
                break;
            case 2:
                watching.advance(static_cast<std::int64_t>(random() % 3000));
                break;
            case 3:
                sync(watching, near);
                break;
            case 4:
                sync(near, far);
                break;
            case 5:
                sync(far, near);
                break;
            default:
                store[name] = entry_of(name, revision, static_cast<std::int64_t>(1 + random() % 3));
                watching.change(revision, store[name], false);
                break;
            }
        }
        ++revision;
        store["last"] = entry_of("last", revision);
        watching.change(revision, store["last"], false);
        sync(watching, near);
        sync(near, far);
        for (registry_fixture* it : {&watching, &near, &far}) {
            it->advance(3000);
            CHECK(it->servers.entries() == store);
        }
    }
}

TEST_CASE("an unreadable entry adds no server and does not affect other entries") {
    registry_fixture it;
    object_list list{object_version{10}, {}};
    list.objects.push_back({"x", object_version{2}, unreadable_object{}});
    list.objects.push_back(object_of(entry_of("a", 3)));
    it.servers.replace(list);
    CHECK(it.servers.entries().size() == 1);
    it.servers.apply({object_version{11}, {{{"a", object_version{11}, unreadable_object{}}, false}}});
    CHECK(it.servers.entries().contains("a"));
    it.change(12, entry_of("a", 11), true);
    CHECK(it.gone == std::vector<std::string>{"a@1"});
}

TEST_CASE("a node pulls the registry from peers only while the store does not answer") {
    registry_fixture it;
    int pulls = 0;
    registry_sync_hooks hooks;
    hooks.draw = [] { return std::optional{node_address{"127.0.0.1:1"}}; };
    hooks.pull = [&](const node_address&, object_version, const registry_sync_hooks::pulled& done) {
        ++pulls;
        done(full_update(20, {entry_of("p", 20)}));
    };
    hooks.update_applied = [] {};
    registry_sync sync{it.timers, it.counts, it.servers, hooks};
    it.list(10, {entry_of("a", 3)});
    it.advance(5000);
    CHECK(pulls == 0);
    sync.on_store_reached(false);
    CHECK(it.servers.entries().contains("p"));
    it.advance(3000);
    CHECK(pulls >= 10);
    sync.on_store_reached(true);
    const int pulls_before = pulls;
    it.advance(3000);
    CHECK(pulls == pulls_before);
}

TEST_CASE(
    "a node pulls from a peer that stays ahead while the store answers, as its watch may have stalled") {
    registry_fixture it;
    int pulls = 0;
    registry_sync_hooks hooks;
    hooks.draw = [] { return std::optional<node_address>{}; };
    hooks.pull = [&](const node_address&, object_version, const registry_sync_hooks::pulled& done) {
        ++pulls;
        done(std::nullopt);
    };
    hooks.update_applied = [] {};
    registry_sync sync{it.timers, it.counts, it.servers, hooks};
    it.list(10, {entry_of("a", 3)});
    gossip_message ahead;
    ahead.sender.address = node_address{"127.0.0.1:1"};
    ahead.knowledge.registry_changed = object_version{11};
    sync.on_gossip(ahead);
    it.change(11, entry_of("b", 11), false);
    it.advance(2000);
    CHECK(pulls == 0);
    ahead.knowledge.registry_changed = object_version{12};
    sync.on_gossip(ahead);
    it.advance(2000);
    CHECK(pulls == 1);
}

TEST_CASE("a removal is not doubted after a loss of contact too short for an entry to lapse") {
    registry_fixture near;
    registry_fixture far;
    registry_sync sync{near.timers, near.counts, near.servers, hooks_without_peers()};
    near.list(10, {entry_of("a", 3), entry_of("b", 4)});
    far.list(10, {entry_of("a", 3), entry_of("b", 4)});
    sync.on_store_reached(true);
    near.advance(500);
    sync.on_store_reached(false);
    near.advance(1200);
    sync.on_store_reached(true);
    near.change(11, entry_of("a", 11), true);
    CHECK(near.gone == std::vector<std::string>{"a@1"});
    // Nor is it by a node that learns of it from this one.
    far.servers.take(near.servers.update_after(object_version{10}));
    CHECK(far.gone == std::vector<std::string>{"a@1"});
}

TEST_CASE("a removal is doubted after a loss of contact in which entries may have lapsed") {
    registry_fixture it;
    registry_sync sync{it.timers, it.counts, it.servers, hooks_without_peers()};
    it.list(10, {entry_of("a", 3), entry_of("b", 4)});
    sync.on_store_reached(true);
    it.advance(1000);
    sync.on_store_reached(false);
    it.advance(1500);
    sync.on_store_reached(true);
    it.change(11, entry_of("a", 11), true);
    CHECK(it.gone.empty());
    it.advance(2500);
    CHECK(it.gone == std::vector<std::string>{"a@1"});
}

} // namespace pollengrade
