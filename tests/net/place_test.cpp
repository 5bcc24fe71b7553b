/** @file place_test.cpp Which connections give up their places. */
#include <doctest/doctest.h>

#include <vector>

#include "net/place_func.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;
using keys = std::vector<std::uint64_t>;

constexpr time_point now{std::chrono::hours{1}};

place at(std::uint64_t key, place_use use, int unchanged_ms) {
    return {key, use, now - milliseconds{unchanged_ms}};
}

} // namespace

TEST_CASE("connections that never sent anything go before those that an ordinary caller keeps") {
    const std::vector<place> places{at(1, place_use::idle, 9000), at(2, place_use::unused, 800),
                                    at(3, place_use::unused, 1200), at(4, place_use::receiving, 700)};
    CHECK(places_to_free(places, now, 1) == keys{3});
    CHECK(places_to_free(places, now, 3) == keys{3, 2, 4});
}

TEST_CASE("of idle connections the one that was used longest ago goes first") {
    const std::vector<place> places{at(1, place_use::idle, 600), at(2, place_use::idle, 9000),
                                    at(3, place_use::idle, 5000), at(4, place_use::sending, 20000)};
    CHECK(places_to_free(places, now, 2) == keys{2, 3});
}

TEST_CASE("a connection that changed a moment ago, or that waits for a server, is not closed") {
    const std::vector<place> places{at(1, place_use::idle, 100), at(2, place_use::unused, 0),
                                    at(3, place_use::waiting, 60000), at(4, place_use::sending, 400)};
    CHECK(places_to_free(places, now, 9).empty());
}

} // namespace pollengrade
