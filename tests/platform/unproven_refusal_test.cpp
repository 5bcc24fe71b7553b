/** @file unproven_refusal_test.cpp A server's status is no promise of ours unless the server gives it. */
#include <doctest/doctest.h>

#include "platform/forward_codec.h"
#include "support/forward_fixture.h"

namespace pollengrade {

// REFUSED: a server's 503, given after it had run the request, reached the caller as the promise that it had
// not.
TEST_CASE("a server's refusal without proof is passed on only for a request that may be repeated") {
    for (const unsigned status : {408U, 429U, 503U}) {
        reply_message reply;
        reply.status = status;
        reply.fields = {{"X-Server-Signature", "proof"}};
        const attempt_result result = decode_forwarded(request_id{"r"}, reply);
        REQUIRE(result);
        CHECK(std::get<forwarded_reply>(*result).is_unproven_refusal);
        forward_fixture it;
        it.submit("/order/x");
        it.network.answer(it.at("s0").front().connection, result);
        CHECK(it.at("s0").empty());
        REQUIRE(it.last<failed_answer>() != nullptr);
        CHECK(encode_answer(it.answers.back(), request_id{"r"}).status == 502);
        it.submit("/lookup/x");
        while (!it.at("s0").empty())
            it.network.answer(it.at("s0").front().connection, result);
        REQUIRE(it.last<proxied_answer>() != nullptr);
        CHECK(it.last<proxied_answer>()->message.status == status);
    }
    reply_message proved;
    proved.status = 503;
    proved.fields = {{"X-Not-Executed", "1"}};
    CHECK_FALSE(decode_forwarded(request_id{"r"}, proved));
}

} // namespace pollengrade
