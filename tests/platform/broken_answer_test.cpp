/** @file broken_answer_test.cpp What callers get, and what a server is charged with, for bytes that are no
 * reply. */
#include <doctest/doctest.h>

#include "platform/forward_codec.h"
#include "support/forward_fixture.h"

namespace pollengrade {

namespace {

/** Ends the only open request at s0 as a connection does that read no reply. @return the server */
upstream_id break_reply(forward_fixture& it) {
    const auto open = it.at("s0");
    REQUIRE(open.size() == 1);
    it.network.end(open.front().connection, connection_end::unreadable, send_state::reply_begun);
    it.network.connect_all();
    return open.front().to;
}

} // namespace

TEST_CASE("a request that may not run twice is answered 502 after a broken reply, and is not sent again") {
    forward_fixture it;
    it.submit("/order/x");
    break_reply(it);
    CHECK(it.at("s0").empty());
    REQUIRE(it.last<failed_answer>() != nullptr);
    CHECK(encode_answer(it.answers.back(), request_id{"r"}).status == 502);
}

TEST_CASE("a broken reply is a failure of its server, and its retry takes from the budget") {
    forward_fixture it;
    std::vector<upstream_id> broken;
    for (int n = 0; n < 12; ++n) {
        it.submit("/lookup/x");
        // The server whose replies were broken first breaks all of them.
        if (broken.empty() || it.at("s0").front().to == broken.front())
            broken.push_back(break_reply(it));
        it.answer("s0");
        REQUIRE(it.last<proxied_answer>() != nullptr);
    }
    CHECK(it.network.counts().counter("attempt_failures", "malformed") == broken.size());
    CHECK(it.network.counts().counter("retries_sent") == broken.size());
    CHECK(it.network.counts().counter("retries_not_run") == 0);
    const upstream* server = it.network.servers().find(broken.front());
    CHECK(server->health().is_degraded(it.timers.now()));
}

} // namespace pollengrade
