/** @file random_source_test.cpp Random numbers are never drawn twice. */
#include <doctest/doctest.h>

#include "runtime/random_source.h"

namespace pollengrade {

TEST_CASE("copies of a random source never give the same numbers") {
    const auto random = seeded_random(7);
    const auto copy = random; // NOLINT(performance-unnecessary-copy-initialization): the copy is the point
    CHECK(random() != copy());
}

} // namespace pollengrade
