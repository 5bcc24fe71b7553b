/** @file throttled_action_test.cpp Tests that frequent triggers run the action once per minimum interval. */
#include <doctest/doctest.h>

#include "core/base/throttled_action.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

/** A throttled action with a minimum interval of 200 ms that counts its runs. */
struct counted_action {
    void advance(milliseconds span) { timers.advance_to(timers.now() + span); }

    timer_queue timers = paused_clock();
    int runs = 0;
    throttled_action action{timers, milliseconds{200}, [this] { ++runs; }};
};

} // namespace

TEST_CASE("throttled_action: the first trigger after the minimum interval runs the action at once") {
    counted_action it;
    it.action.trigger();
    CHECK(it.runs == 1);
    it.advance(milliseconds{1000});
    CHECK(it.runs == 1);
    it.action.trigger();
    CHECK(it.runs == 2);
}

TEST_CASE("throttled_action: 100 triggers within a second run it at most six times, the last one included") {
    counted_action it;
    for (int n = 0; n < 100; ++n) {
        it.action.trigger();
        it.advance(milliseconds{10});
    }
    CHECK(it.runs <= 6);
    const int before = it.runs;
    it.action.trigger();
    it.advance(milliseconds{200});
    CHECK(it.runs == before + 1);
}

TEST_CASE("throttled_action: a self-triggering action runs again after the minimum interval, not at once") {
    timer_queue timers = paused_clock();
    int runs = 0;
    throttled_action* self = nullptr;
    throttled_action action{timers, milliseconds{200}, [&] {
                                if (++runs < 3)
                                    self->trigger();
                            }};
    self = &action;
    action.trigger();
    CHECK(runs == 1);
    timers.advance_to(timers.now() + milliseconds{199});
    CHECK(runs == 1);
    timers.advance_to(timers.now() + milliseconds{1});
    CHECK(runs == 2);
}

TEST_CASE("throttled_action: a pending run is dropped on destruction") {
    timer_queue timers = paused_clock();
    int runs = 0;
    {
        throttled_action action{timers, milliseconds{200}, [&] { ++runs; }};
        action.trigger();
        action.trigger();
    }
    timers.advance_to(timers.now() + milliseconds{1000});
    CHECK(runs == 1);
}

} // namespace pollengrade
