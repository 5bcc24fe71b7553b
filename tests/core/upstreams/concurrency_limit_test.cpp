/** @file concurrency_limit_test.cpp The limit of requests at a server follows its reply times. */
#include <doctest/doctest.h>

#include "core/upstreams/concurrency_limit.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

constexpr duration unloaded = milliseconds{20};

struct fixture {
    void reply(std::int64_t took_ms, std::uint32_t in_flight) {
        now += milliseconds{took_ms};
        limit.on_reply(now, now - milliseconds{took_ms}, milliseconds{took_ms}, unloaded, in_flight);
    }

    concurrency_limit limit;
    time_point now{std::chrono::seconds{1000}};
};

} // namespace

TEST_CASE("the limit falls below the requests at a server whose replies are held up by a queue") {
    fixture it;
    it.reply(25, 9);
    CHECK(it.limit.value() > 9);
    it.reply(120, 9);
    CHECK(it.limit.value() == 6);
    for (int n = 0; n < 20; ++n)
        it.reply(120, it.limit.value());
    CHECK(it.limit.value() == 1);
}

TEST_CASE("replies that were held up by one pause lower the limit once") {
    fixture it;
    const time_point sent = it.now;
    it.now += milliseconds{200};
    for (int n = 0; n < 6; ++n)
        it.limit.on_reply(it.now, sent, milliseconds{200}, unloaded, 6);
    CHECK(it.limit.value() == 4);
}

TEST_CASE("the limit grows again once replies are in time") {
    fixture it;
    for (int n = 0; n < 20; ++n)
        it.reply(150, 5);
    REQUIRE(it.limit.value() == 1);
    for (int n = 0; n < 40; ++n)
        it.reply(22, 1);
    CHECK(it.limit.value() >= 8);
}

} // namespace pollengrade
