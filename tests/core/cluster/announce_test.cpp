/** @file announce_test.cpp Every node is told of a changed registry, whichever node on duty is missing. */
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
    "every node is told of a changed registry by two nodes on duty, so by one when any of these is silent") {
    for (const std::size_t count : {7U, 88U, 560U}) {
        CAPTURE(count);
        const auto live = members(count);
        const std::vector<member> duty{live.begin(), live.begin() + 7};
        std::map<node_address, std::size_t> heard;
        std::size_t most = 0;
        for (const member& self : duty) {
            const auto told = nodes_to_tell(self, duty, live);
            CHECK(std::find(told.begin(), told.end(), self.address) == told.end());
            most = std::max(most, told.size());
            for (const node_address& it : told)
                ++heard[it];
        }
        for (const member& it : live)
            CHECK(heard[it.address] == 2);
        // Evenly: no node tells twice its share.
        CHECK(most * duty.size() <= 4 * live.size());
    }
}

TEST_CASE("one of a node's tellers is of its failure domain, where that has another node on duty") {
    const auto live = members(300);
    const std::vector<member> duty{live.begin(), live.begin() + 2 * domains};
    std::map<node_address, std::size_t> heard_near;
    for (const member& self : duty) {
        for (const node_address& at : nodes_to_tell(self, duty, live)) {
            const auto it = std::find_if(live.begin(), live.end(),
                                         [&at](const member& one) { return one.address == at; });
            REQUIRE(it != live.end());
            heard_near[at] += it->domain == self.domain ? 1U : 0U;
        }
    }
    for (const member& it : live)
        CHECK(heard_near[it.address] >= 1);
}

TEST_CASE("a lone node on duty tells all others") {
    const auto live = members(9);
    CHECK(nodes_to_tell(live[3], std::vector{live[3]}, live).size() == 8);
}

TEST_CASE("the loss of a node on duty moves only what it told") {
    const auto live = members(60);
    const std::vector<member> before{live.begin(), live.begin() + 8};
    const std::vector<member> after{live.begin(), live.begin() + 7};
    for (const member& self : after) {
        const auto told = nodes_to_tell(self, before, live);
        const auto now = nodes_to_tell(self, after, live);
        for (const node_address& it : told)
            CHECK(std::find(now.begin(), now.end(), it) != now.end());
    }
}

} // namespace pollengrade
