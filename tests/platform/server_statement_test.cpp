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

} // namespace pollengrade
