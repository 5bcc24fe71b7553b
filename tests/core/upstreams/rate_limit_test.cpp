/** @file rate_limit_test.cpp Statements of a server's request rate, the token bucket, and the nodes that
 * share it. */
#include <doctest/doctest.h>

#include <array>
#include <limits>

#include "core/upstreams/rate_limit.h"
#include "core/upstreams/server_pool.h"
#include "platform/forward_codec.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{1000}};

rate_statement rate_of(double per_second) {
    return {per_second, true};
}

/** Sends whenever the limit allows it. @return the requests sent until @p until */
int send_all(rate_limit& limit, time_point from, time_point until) {
    int sent = 0;
    for (time_point now = from; now < until; now += milliseconds{1}) {
        while (limit.may_send(now) && sent < 100000) {
            limit.on_sent(now);
            ++sent;
        }
    }
    return sent;
}

rate_statement read(const std::string& text) {
    reply_message reply;
    reply.status = 200;
    reply.fields.push_back({"Server-Limit", text});
    return read_rate_statement(reply);
}

} // namespace

TEST_CASE("a node sends its share of a stated rate and saves up at most a quarter of a second") {
    rate_limit limit;
    limit.set_sharing_nodes(start, 5);
    CHECK(limit.may_send(start));
    limit.on_reply(start, start, rate_of(100), 0);
    CHECK(send_all(limit, start, start + seconds{10}) <= 201);
    // After a pause: what was saved up, and the share.
    CHECK(send_all(limit, start + seconds{60}, start + seconds{64}) <= 20 * 4 + 6);
    limit.on_reply(start + seconds{64}, start + seconds{64}, rate_of(10), 0);
    CHECK(send_all(limit, start + seconds{64}, start + seconds{74}) <= 21);
}

TEST_CASE("a reply without a rate lifts the limit unless its request was sent before the rate was stated") {
    rate_limit limit;
    const time_point sent = start - milliseconds{20};
    CHECK(limit.on_reply(start, sent, rate_of(8), 0) == rate_change::stated);
    CHECK(limit.on_reply(start + milliseconds{1}, sent, {}, 0) == rate_change::none);
    CHECK(limit.stated() == 8);
    CHECK(limit.on_reply(start + milliseconds{9}, start + milliseconds{2}, {}, 0) == rate_change::lifted);
    CHECK(limit.may_send(start + milliseconds{9}));
}

TEST_CASE("a server that states a rate of zero is sent a request every few seconds") {
    rate_limit limit;
    limit.on_reply(start, start, rate_of(0), 0);
    const int sent = send_all(limit, start, start + seconds{20});
    CHECK(sent >= 2);
    CHECK(sent <= 5);
}

TEST_CASE("a rate that is no number is ignored and the stated one holds") {
    rate_limit limit;
    limit.on_reply(start, start, rate_of(4), 0);
    for (const char* text : {"", "x", "4x", "nan", "inf", "-inf", "-1", "1e999", "4,4", "0x10"}) {
        CAPTURE(text);
        CHECK_FALSE(read(text).is_readable);
        CHECK(limit.on_reply(start, start, read(text), 0) == rate_change::none);
        CHECK(limit.stated() == 4);
    }
    CHECK(read("27.75").per_second == 27.75);
    CHECK(read("0").per_second == 0);
    CHECK(read("1e9").per_second == 1e9);
    CHECK_FALSE(read_rate_statement(reply_message{}).per_second);
    CHECK(read_rate_statement(reply_message{}).is_readable);
}

TEST_CASE("a huge stated rate limits nothing that a node can send") {
    rate_limit limit;
    limit.set_sharing_nodes(start, 560);
    limit.on_reply(start, start, rate_of(std::numeric_limits<double>::max()), 0);
    CHECK(limit.sendable(start + milliseconds{1}) >= 1000);
}

TEST_CASE("the wait for several requests counts the tokens of all servers") {
    rate_limit slow;
    rate_limit fast;
    slow.on_reply(start, start, rate_of(1), 0);
    fast.on_reply(start, start, rate_of(10), 0);
    const std::array<const rate_limit*, 2> both{&slow, &fast};
    CHECK(time_to_send(both, start, 1) == milliseconds{100});
    CHECK(time_to_send(both, start, 11) == milliseconds{1000});
    CHECK(time_to_send({}, start, 3) == duration{0});
}

TEST_CASE("two halves of a fleet that lost contact stay near the stated rate together") {
    rate_sharing_count half;
    half.on_count(start, 8);
    CHECK(half.value(start) == 8);
    for (int n = 7; n >= 4; --n)
        half.on_count(start + seconds{8 - n}, static_cast<std::uint32_t>(n));
    CHECK(2 * 4 / half.value(start + seconds{5}) <= 1.5);
    REQUIRE(half.falls_at());
    CHECK(half.value(*half.falls_at()) == 4);
    half.on_count(start + seconds{6}, 9);
    CHECK(half.value(start + seconds{6}) == 9);
}

} // namespace pollengrade
