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

std::vector<node_address> addresses(std::size_t count) {
    std::vector<node_address> list;
    for (std::size_t n = 0; n < count; ++n)
        list.emplace_back("10.0.0." + std::to_string(n) + ":7000");
    return list;
}

} // namespace

TEST_CASE(
    "every node is told of a changed registry by two nodes on duty, so by one when any of these is silent") {
    for (const std::size_t count : {7U, 88U, 560U}) {
        CAPTURE(count);
        const auto live = addresses(count);
        const std::vector<node_address> duty{live.begin(), live.begin() + 7};
        std::map<node_address, std::size_t> heard;
        std::size_t most = 0;
        for (const node_address& self : duty) {
            const auto told = nodes_to_tell(self, duty, live);
            CHECK(std::find(told.begin(), told.end(), self) == told.end());
            most = std::max(most, told.size());
            for (const node_address& it : told)
                ++heard[it];
        }
        for (const node_address& it : live)
            CHECK(heard[it] == 2);
        // Evenly: no node tells twice its share.
        CHECK(most * duty.size() <= 4 * live.size());
    }
}

TEST_CASE("a lone node on duty tells all others") {
    const auto live = addresses(9);
    CHECK(nodes_to_tell(live[3], std::vector{live[3]}, live).size() == 8);
}

TEST_CASE("the loss of a node on duty moves only what it told") {
    const auto live = addresses(60);
    const std::vector<node_address> before{live.begin(), live.begin() + 8};
    const std::vector<node_address> after{live.begin(), live.begin() + 7};
    for (const node_address& self : after) {
        const auto told = nodes_to_tell(self, before, live);
        const auto now = nodes_to_tell(self, after, live);
        for (const node_address& it : told)
            CHECK(std::find(now.begin(), now.end(), it) != now.end());
    }
}

} // namespace pollengrade
