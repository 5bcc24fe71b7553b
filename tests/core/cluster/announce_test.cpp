/** @file announce_test.cpp Any one store watcher may be missing: every node is still notified. */
#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/cluster/announce_func.h"

namespace pollengrade {

namespace {

constexpr std::size_t domains = 5;

std::vector<member> members(std::size_t count) {
    std::vector<member> list(count);
    for (std::size_t n = 0; n < count; ++n) {
        list[n].address = node_address{"10.0.0." + std::to_string(n) + ":7000"};
        list[n].domain = failure_domain{"d" + std::to_string(n % domains)};
    }
    return list;
}

} // namespace

TEST_CASE(
    "two store watchers notify every node of a registry change, so one still does if the other is silent") {
    for (const std::size_t count : {7U, 88U, 560U}) {
        CAPTURE(count);
        const auto live = members(count);
        const std::vector<member> store_watchers{live.begin(), live.begin() + 7};
        std::map<node_address, std::size_t> notifications;
        std::size_t most = 0;
        for (const member& self : store_watchers) {
            const auto notified = nodes_to_notify(self, store_watchers, live);
            CHECK(std::find(notified.begin(), notified.end(), self.address) == notified.end());
            most = std::max(most, notified.size());
            for (const node_address& it : notified)
                ++notifications[it];
        }
        for (const member& it : live)
            CHECK(notifications[it.address] == 2);
        // The load is even: no store watcher notifies more than twice its share.
        CHECK(most * store_watchers.size() <= 4 * live.size());
    }
}

TEST_CASE("one of a node's notifiers is in its failure domain if that has another store watcher") {
    const auto live = members(300);
    const std::vector<member> store_watchers{live.begin(), live.begin() + 2 * domains};
    std::map<node_address, std::size_t> local_notifications;
    for (const member& self : store_watchers) {
        for (const node_address& at : nodes_to_notify(self, store_watchers, live)) {
            const auto it = std::find_if(live.begin(), live.end(),
                                         [&at](const member& one) { return one.address == at; });
            REQUIRE(it != live.end());
            local_notifications[at] += it->domain == self.domain ? 1U : 0U;
        }
    }
    for (const member& it : live)
        CHECK(local_notifications[it.address] >= 1);
}

TEST_CASE("a lone store watcher notifies all other nodes") {
    const auto live = members(9);
    CHECK(nodes_to_notify(live[3], std::vector{live[3]}, live).size() == 8);
}

TEST_CASE("the loss of a store watcher reassigns only the nodes that it notified") {
    const auto live = members(60);
    const std::vector<member> before{live.begin(), live.begin() + 8};
    const std::vector<member> after{live.begin(), live.begin() + 7};
    for (const member& self : after) {
        const auto notified = nodes_to_notify(self, before, live);
        const auto now = nodes_to_notify(self, after, live);
        for (const node_address& it : notified)
            CHECK(std::find(now.begin(), now.end(), it) != now.end());
    }
}

} // namespace pollengrade
