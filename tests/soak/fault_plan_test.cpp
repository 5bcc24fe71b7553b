/** @file fault_plan_test.cpp Crowds in the schedule of a soak run lie within its time for faults. */
#include "fault_plan.h"

#include <vector>

#include <doctest/doctest.h>

#include "runtime/random_source.h"

using namespace pollengrade;

namespace {

constexpr std::uint64_t crowd_seed = 1; ///< a seed whose runs play crowds

std::vector<planned_fault> plan_of_crowds(duration fault_duration) {
    soak_config config;
    config.seed = crowd_seed;
    config.fault_duration = fault_duration;
    std::vector<planned_fault> plan;
    add_crowds(plan, seeded_random(config.seed + 2), config);
    return plan;
}

} // namespace

TEST_CASE("a soak run without time for faults plays no crowd") {
    CHECK(plan_of_crowds(duration{0}).empty());
    CHECK(plan_of_crowds(std::chrono::microseconds{999}).empty());
}

TEST_CASE("crowds of a soak run begin and end within its time for faults") {
    constexpr duration fault_duration = std::chrono::seconds{6};
    const std::vector<planned_fault> plan = plan_of_crowds(fault_duration);
    CHECK(!plan.empty());
    for (const planned_fault& it : plan) {
        CHECK(it.kind == fault_kind::callers_crowding);
        CHECK(it.at >= duration{0});
        CHECK(it.length > duration{0});
        CHECK(it.at + it.length <= fault_duration);
    }
}
