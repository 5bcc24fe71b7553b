/** @file order_run_test.cpp Orders run at most once. */
#include <doctest/doctest.h>

#include <string>

#include "support/fake_claim_store.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

constexpr const char* order_document = "[service]\nname = desk\norders = allowed\n";
constexpr duration long_deadline = std::chrono::seconds{1};

/** Moves the clock in small steps, so that every callback runs at its own time. */
void pass(timer_queue& timers, duration span) {
    timers.advance_to(timers.now() + span);
}

} // namespace

TEST_CASE("an order sent again to the same node with its key is answered from the record") {
    timer_queue timers = paused_clock();
    fake_claim_store store{timers, [] { return call_fate::answered; }};
    fake_node node{timers, store.hooks(), 1};
    node.configure(order_document, {1}, 4, 2);
    node.order(fresh_key, 3, long_deadline);
    pass(timers, std::chrono::milliseconds{10});
    REQUIRE(node.open_requests().size() == 1);
    node.reply(node.open_requests().front());
    pass(timers, std::chrono::milliseconds{10});
    node.order(fresh_key, 3, long_deadline);
    pass(timers, std::chrono::milliseconds{10});
    CHECK(node.open_requests().empty());
    REQUIRE(node.answers().size() == 2);
    CHECK(node.answers()[1].replayed);
    CHECK(node.answers()[1].result == outcome::answered);
    CHECK(node.answers()[1].rows == node.answers()[0].rows);
}

} // namespace pollengrade
