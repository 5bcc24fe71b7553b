/** @file restored_registry_test.cpp The registry of servers after the store came back from a copy. */
#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "core/upstreams/registry.h"
#include "support/fake_node.h"
#include "support/server_entries.h"

namespace pollengrade {

namespace {

/** A registry fed by a store in one of its eras, and the servers that it has in use. */
struct restored_fixture {
    void list(std::uint64_t revision, std::uint64_t era, const std::vector<server_entry>& entries) {
        object_list list{object_version{revision, era}, {}};
        for (const server_entry& it : entries)
            list.objects.push_back(object_of(it));
        servers.replace(list);
    }
    void change(std::uint64_t revision, std::uint64_t era, const server_entry& entry, bool removed) {
        servers.apply({object_version{revision, era}, {{object_of(entry), removed}}});
    }
    void pass(duration span) { timers.advance_to(timers.now() + span); }

    timer_queue timers = paused_clock();
    event_log log{[] { return wall_time{}; }};
    metrics counts;
    std::set<std::string> in_use;
    registry servers{timers, log, counts, [this](const server_entry& entry, bool removed) {
                         if (removed)
                             in_use.erase(entry.name);
                         else
                             in_use.insert(entry.name);
                     }};
};

server_entry entry_in(const std::string& name, std::uint64_t revision, std::uint64_t era) {
    server_entry it = entry_of(name, revision);
    it.version = object_version{revision, era};
    return it;
}

using names = std::set<std::string>;

} // namespace

TEST_CASE("the servers of a store that came back from a copy are taken although its revision is lower") {
    restored_fixture it;
    it.list(45, 1, {entry_in("a", 40, 1)});
    it.list(42, 2, {entry_in("a", 40, 2), entry_in("b", 42, 2)});
    CHECK(it.in_use == names{"a", "b"});
    it.change(43, 2, entry_in("c", 43, 2), false);
    CHECK(it.in_use == names{"a", "b", "c"});
    it.change(44, 2, entry_in("b", 44, 2), true);
    it.pass(reregistration_time);
    CHECK(it.in_use == names{"a", "c"});
}

TEST_CASE("changes of a later era do not continue the entries of an earlier one") {
    restored_fixture it;
    it.list(45, 1, {entry_in("a", 40, 1)});
    it.change(46, 2, entry_in("a", 46, 2), true);
    CHECK(it.servers.revision() == object_version{45, 1});
    it.pass(reregistration_time);
    CHECK(it.in_use == names{"a"});
}

TEST_CASE("a server that the store's copy lacks has time to register again") {
    restored_fixture it;
    it.list(45, 1, {entry_in("a", 40, 1), entry_in("new", 44, 1)});
    it.list(42, 2, {entry_in("a", 40, 2)});
    CHECK(it.in_use == names{"a", "new"});
    it.change(43, 2, entry_in("new", 43, 2), false);
    it.pass(reregistration_time * 2);
    CHECK(it.in_use == names{"a", "new"});
}

TEST_CASE("a peer that has not seen the restore is sent all entries and brings back none of its own") {
    restored_fixture it;
    restored_fixture peer;
    for (restored_fixture* one : {&it, &peer})
        one->list(45, 1, {entry_in("a", 40, 1), entry_in("b", 41, 1)});
    it.list(42, 2, {entry_in("a", 40, 2)});
    CHECK_FALSE(it.servers.take(peer.servers.update_after(object_version{})));
    const registry_update update = it.servers.update_after(peer.servers.revision());
    CHECK(update.is_whole);
    CHECK(peer.servers.take(update));
    for (restored_fixture* one : {&it, &peer}) {
        one->pass(reregistration_time);
        CHECK(one->in_use == names{"a"});
    }
}

TEST_CASE("a server that left does not come back with the store's copy") {
    restored_fixture it;
    it.list(40, 1, {entry_in("a", 30, 1), entry_in("left", 31, 1)});
    it.change(45, 1, entry_in("left", 45, 1), true);
    it.list(42, 2, {entry_in("a", 30, 2), entry_in("left", 31, 2)});
    CHECK(it.in_use == names{"a"});
    // The store removes the entry, because its server gives no sign of life.
    it.pass(registry_settings{}.entry_lifetime);
    it.change(43, 2, entry_in("left", 43, 2), true);
    it.pass(registry_settings{}.entry_lifetime * 2);
    CHECK(it.in_use == names{"a"});
}

TEST_CASE("a removed server that lives is used again after the store came back from a copy") {
    restored_fixture it;
    it.list(40, 1, {entry_in("writes", 30, 1), entry_in("stays", 31, 1)});
    it.change(45, 1, entry_in("writes", 44, 1), true);
    it.change(46, 1, entry_in("stays", 45, 1), true);
    it.list(42, 2, {entry_in("writes", 30, 2), entry_in("stays", 31, 2)});
    CHECK(it.in_use.empty());
    it.change(43, 2, entry_in("writes", 43, 2), false);
    CHECK(it.in_use == names{"writes"});
    it.pass(registry_settings{}.entry_lifetime + reregistration_time);
    CHECK(it.in_use == names{"writes", "stays"});
}

TEST_CASE("a peer that knows only the store's copy does not bring back a server that left") {
    restored_fixture it;
    restored_fixture starting;
    it.list(40, 1, {entry_in("a", 30, 1), entry_in("left", 31, 1)});
    it.change(45, 1, entry_in("left", 45, 1), true);
    starting.list(42, 2, {entry_in("a", 30, 2), entry_in("left", 31, 2)});
    CHECK(it.servers.take(starting.servers.update_after(it.servers.revision())));
    CHECK(it.in_use == names{"a"});
}

TEST_CASE("a server that leaves is not ready again because the store's copy does not know it") {
    restored_fixture it;
    server_entry leaving = entry_in("a", 44, 1);
    leaving.is_leaving = true;
    it.list(45, 1, {leaving});
    it.list(42, 2, {entry_in("a", 40, 2)});
    CHECK(it.servers.entries().at("a").is_leaving);
}

} // namespace pollengrade
