/** @file upstream_test.cpp Condition, connections and health of one server. */
#include <doctest/doctest.h>

#include "core/upstreams/upstream.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds{1000}};
constexpr connection_id first_connection{1};

upstream make_upstream() {
    return upstream{{upstream_id{"a"}, upstream_address{"127.9.0.1:9000"}, {}, {}}, upstream_limits{}};
}

/** A server with one open connection. */
upstream connected_upstream() {
    upstream it = make_upstream();
    it.on_connecting(first_connection, start);
    it.on_connected(first_connection, start);
    return it;
}

} // namespace

TEST_CASE(
    "a late report from the same incarnation does not clear the leaving state, a new incarnation does") {
    upstream it = make_upstream();
    it.mark_live("one");
    CHECK(it.mark_leaving("one"));
    it.mark_live("one");
    CHECK(it.is_leaving());
    it.mark_live("");
    CHECK(it.is_leaving());
    CHECK(it.mark_live("two"));
    CHECK_FALSE(it.is_leaving());
}

TEST_CASE(
    "an upstream is degraded after three failures in a row, then gets single trials at growing intervals") {
    upstream it = connected_upstream();
    upstream_health& health = it.health();
    health.on_failure(start);
    health.on_failure(start);
    CHECK(it.condition(start) == upstream_condition::ready);
    health.on_failure(start);
    CHECK(it.condition(start) == upstream_condition::degraded);
    CHECK_FALSE(it.is_trial_due(start + milliseconds{99}));
    CHECK(it.is_trial_due(start + milliseconds{100}));
    health.on_trial(start + milliseconds{100});
    it.on_sent(attempt_id{1}, first_connection, start + milliseconds{100}, milliseconds{10});
    CHECK_FALSE(it.is_trial_due(start + milliseconds{300}));
    it.on_answered(first_connection, start + milliseconds{101}, duration{0});
    health.on_failure(start + milliseconds{101});
    CHECK_FALSE(it.is_trial_due(start + milliseconds{299}));
    CHECK(it.is_trial_due(start + milliseconds{300}));
    health.on_trial(start + milliseconds{300});
    CHECK_FALSE(it.is_trial_due(start + milliseconds{699}));
}

TEST_CASE("a failing upstream is ready again after several good replies, not after one") {
    upstream it = connected_upstream();
    for (int n = 0; n < 3; ++n)
        it.health().on_failure(start);
    it.health().on_reply(start, start, milliseconds{1}, duration{0});
    CHECK(it.condition(start) == upstream_condition::degraded);
    for (int n = 0; n < 8; ++n)
        it.health().on_reply(start, start, milliseconds{1}, duration{0});
    CHECK(it.condition(start) == upstream_condition::ready);
}

TEST_CASE("the backoff of an upstream that keeps shedding grows until it replies") {
    upstream_health it;
    it.on_shed(start, milliseconds{20});
    CHECK_FALSE(it.is_shedding(start + milliseconds{20}));
    it.on_shed(start, milliseconds{20});
    CHECK(it.is_shedding(start + milliseconds{39}));
    it.on_reply(start, start, milliseconds{1}, duration{0});
    it.on_shed(start, milliseconds{20});
    CHECK_FALSE(it.is_shedding(start + milliseconds{20}));
}

TEST_CASE("a server is slow after several slow replies, not one long pause, and one usual reply clears it") {
    upstream_health it;
    const duration usual = milliseconds{10};
    it.on_reply(start + milliseconds{120}, start, milliseconds{120}, usual);
    // Held up by the same pause.
    it.on_reply(start + milliseconds{121}, start + milliseconds{5}, milliseconds{116}, usual);
    CHECK_FALSE(it.is_slow());
    time_point now = start + milliseconds{130};
    for (int n = 0; n < 3; ++n, now += milliseconds{100})
        it.on_reply(now + milliseconds{90}, now, milliseconds{90}, usual);
    CHECK(it.is_slow());
    it.on_reply(now + milliseconds{10}, now, milliseconds{10}, usual);
    CHECK_FALSE(it.is_slow());
}

TEST_CASE("a late reply degrades its server, and a long time without reply makes it unresponsive") {
    upstream it = connected_upstream();
    it.on_sent(attempt_id{1}, first_connection, start, milliseconds{20});
    CHECK(it.condition(start + milliseconds{40}) == upstream_condition::ready);
    CHECK(it.condition(start + milliseconds{41}) == upstream_condition::degraded);
    CHECK(it.condition(start + milliseconds{401}) == upstream_condition::unresponsive);
    CHECK(it.take_unresponsive_requests(start + milliseconds{401}).size() == 1);
    CHECK(it.take_unresponsive_requests(start + milliseconds{402}).empty());
    it.ignore_earlier_requests(start + milliseconds{403});
    CHECK(it.condition(start + milliseconds{404}) == upstream_condition::ready);
}

TEST_CASE("a connection is not used in the last second before its server may close it as idle") {
    upstream it = connected_upstream();
    it.on_sent(attempt_id{1}, first_connection, start, milliseconds{20});
    CHECK_FALSE(it.idle_connection(start).has_value());
    it.on_answered(first_connection, start, std::chrono::seconds{5});
    CHECK(it.idle_connection(start + milliseconds{3999}).has_value());
    CHECK_FALSE(it.idle_connection(start + milliseconds{4000}).has_value());
}

TEST_CASE("connections are opened up to the limit, and only after a backoff when one has failed") {
    upstream it = make_upstream();
    CHECK(it.may_connect(start));
    it.on_connecting(first_connection, start);
    it.on_connecting(connection_id{2}, start);
    CHECK_FALSE(it.may_connect(start));
    it.on_connection_gone(first_connection);
    CHECK(it.health().on_connect_failed(start));
    CHECK_FALSE(it.may_connect(start + milliseconds{99}));
    CHECK(it.may_connect(start + milliseconds{100}));
    CHECK_FALSE(it.health().on_connect_failed(start));
    CHECK_FALSE(it.may_connect(start + milliseconds{199}));
    CHECK(it.health().on_connected());
    CHECK(it.may_connect(start));
}

} // namespace pollengrade
