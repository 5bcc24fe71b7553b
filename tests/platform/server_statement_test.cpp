/** @file server_statement_test.cpp What servers state of themselves in the header of any reply. */
#include <doctest/doctest.h>

#include <string>

#include "platform/forward_codec.h"

namespace pollengrade {

namespace {

reply_message reply_with(unsigned status, const std::string& name, const std::string& value) {
    reply_message reply;
    reply.status = status;
    reply.fields = {{name, value}};
    return reply;
}

} // namespace

TEST_CASE("a reply of any status states that its server leaves, by one value only") {
    for (const unsigned status : {200U, 421U, 500U, 503U})
        CHECK(states_leaving(reply_with(status, "server-leaving", "1")));
    for (const char* value : {"", "0", "true", "11", "1 1"})
        CHECK_FALSE(states_leaving(reply_with(200, "Server-Leaving", value)));
    CHECK_FALSE(states_leaving(reply_with(200, "Server", "1")));
}

TEST_CASE("a pause is a finite number of seconds, 0 or more, in a reply with status 503") {
    const auto pause_of = [](const std::string& text) {
        return read_pause_statement(reply_with(503, "Retry-After", text));
    };
    CHECK(pause_of("0.25").length == std::chrono::milliseconds{250});
    CHECK(pause_of("30").length == std::chrono::seconds{30});
    CHECK(pause_of("0").length == duration{0});
    CHECK(pause_of("1e300").length == std::chrono::hours{24}); // Reduced further by a setting.
    for (const char* text :
         {"", "soon", "-1", "inf", "nan", "1e999", "1 s", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        CAPTURE(text);
        CHECK_FALSE(pause_of(text).is_readable);
        CHECK(pause_of(text).length == duration{0});
    }
    CHECK(read_pause_statement(reply_with(429, "Retry-After", "1")).length == duration{0});
    CHECK(read_pause_statement(reply_with(503, "X", "1")).is_readable);
}

} // namespace pollengrade
