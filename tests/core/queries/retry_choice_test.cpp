/** @file retry_choice_test.cpp Extra requests go to the queries that gain most by them. */
#include <doctest/doctest.h>

#include "core/queries/retry_choice.h"

namespace pollengrade {

TEST_CASE("the chance of enough successes follows the binomial distribution") {
    CHECK(chance_of(0, 3, 0.4) == doctest::Approx(1));
    CHECK(chance_of(1, 2, 0.4) == doctest::Approx(0.64));
    CHECK(chance_of(3, 3, 0.5) == doctest::Approx(0.125));
}

TEST_CASE("with an ample budget every query that can still be answered is retried") {
    CHECK(is_retry_worthwhile({10, 1, 0, 0.9, 1}));
    CHECK(is_retry_worthwhile({10, 5, 4, 0.4, 1}));
    CHECK_FALSE(is_retry_worthwhile({10, 2, 3, 0.9, 1}));
}

TEST_CASE("with little budget left the queries that need the fewest shards are retried") {
    constexpr double little = 0.02;
    CHECK(is_retry_worthwhile({10, 1, 1, 0.9, little}));
    CHECK(is_retry_worthwhile({10, 2, 1, 0.45, little}));
    CHECK_FALSE(is_retry_worthwhile({10, 4, 3, 0.4, little}));
    // More coverage of a query that is answered anyway can wait, too.
    CHECK_FALSE(is_retry_worthwhile({10, 1, 0, 0.9, little}));
}

} // namespace pollengrade
