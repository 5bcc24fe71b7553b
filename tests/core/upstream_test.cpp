/** @file upstream_test.cpp Standing of a server: drain, rest, load. */
#include <doctest/doctest.h>

#include "core/upstreams/upstream.h"

namespace pollengrade {

namespace {

constexpr time_point start{std::chrono::seconds{1000}};

upstream make_upstream() {
    return upstream{upstream_address{"127.9.0.1:9000"}, upstream_limits{}};
}

} // namespace

TEST_CASE("stale word of the same incarnation does not undo draining, a new incarnation does") {
    upstream it = make_upstream();
    it.mark_live("one");
    CHECK(it.mark_draining("one"));
    it.mark_live("one");
    CHECK(it.is_draining());
    it.mark_live("");
    CHECK(it.is_draining());
    CHECK(it.mark_live("two"));
    CHECK_FALSE(it.is_draining());
}

TEST_CASE("an upstream rests after three failures in a row, for longer each time, and is then tried once") {
    upstream it = make_upstream();
    CHECK_FALSE(it.on_failed(start));
    CHECK_FALSE(it.on_failed(start));
    CHECK(it.is_usable(start));
    CHECK(it.on_failed(start));
    CHECK_FALSE(it.is_usable(start + std::chrono::milliseconds{99}));
    CHECK(it.is_usable(start + std::chrono::milliseconds{100}));
    it.on_sent();
    CHECK_FALSE(it.is_usable(start + std::chrono::milliseconds{100}));
    it.on_finished();
    it.on_failed(start + std::chrono::milliseconds{100});
    CHECK_FALSE(it.is_usable(start + std::chrono::milliseconds{299}));
    CHECK(it.on_reachable());
    CHECK(it.is_usable(start + std::chrono::milliseconds{299}));
}

TEST_CASE("an upstream that keeps shedding is left alone for longer each time, until it replies") {
    upstream it = make_upstream();
    it.on_shed(start, std::chrono::milliseconds{20});
    CHECK_FALSE(it.is_shedding(start + std::chrono::milliseconds{20}));
    it.on_shed(start, std::chrono::milliseconds{20});
    CHECK(it.is_shedding(start + std::chrono::milliseconds{39}));
    it.on_reply(start, std::chrono::milliseconds{1}, 0);
    it.on_shed(start, std::chrono::milliseconds{20});
    CHECK_FALSE(it.is_shedding(start + std::chrono::milliseconds{20}));
}

} // namespace pollengrade
