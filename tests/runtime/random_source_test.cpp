/** @file random_source_test.cpp Copies of a random number generator share one sequence. */
#include <doctest/doctest.h>

#include "runtime/random_source.h"

namespace pollengrade {

TEST_CASE("copies of a random number generator do not repeat each other's numbers") {
    const auto random = seeded_random(7);
    const auto copy = random; // NOLINT(performance-unnecessary-copy-initialization): the test needs a copy
    CHECK(random() != copy());
}

} // namespace pollengrade
