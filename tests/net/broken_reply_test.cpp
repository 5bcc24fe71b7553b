/** @file broken_reply_test.cpp Bytes that RFC 9110 and RFC 9112 do not call a reply, on a real socket. */
#include <doctest/doctest.h>

#include <array>
#include <string>

#include "support/scripted_server.h"

namespace pollengrade {

namespace {

constexpr message_limits limits{std::size_t{8} * 1024, std::size_t{64} * 1024};

const std::string ok_head = "HTTP/1.1 200 OK\r\n";
const std::string length_and_body = "Content-Length: 2\r\n\r\nok";
const std::string chunked_head = ok_head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string last_chunk = "0\r\n\r\n";

std::string reply_with_status(const std::string& status) {
    return "HTTP/1.1 " + status + " Status\r\nX-Server-Signature: s\r\n" + length_and_body;
}

/** Checks that a connection takes bytes for no reply, whether they arrive at once or in two parts. */
void check_is_no_reply(const std::string& bytes) {
    CAPTURE(bytes);
    for (const std::size_t first : {bytes.size(), bytes.size() / 2}) {
        const connection_reports it =
            run_server_script({bytes.substr(0, first), bytes.substr(first), server_end::closes}, limits);
        CHECK_FALSE(it.reply.has_value());
        CHECK(it.end.has_value());
    }
}

/** Checks that a connection takes bytes for a reply with the body "ok". */
void check_is_reply(const std::string& bytes) {
    CAPTURE(bytes);
    const connection_reports it = run_server_script({bytes, "", server_end::closes}, limits);
    REQUIRE(it.reply.has_value());
    CHECK(it.reply->body == "ok");
}

} // namespace

TEST_CASE("a reply whose status is not from 100 to 599 was passed on") {
    for (const char* status : {"000", "001", "099", "600", "700", "999"}) {
        check_is_no_reply(reply_with_status(status));
        check_is_no_reply("HTTP/1.1 " + std::string{status} + " Status\r\n\r\n" + ok_head + length_and_body);
    }
    for (const char* status : {"20", "2000", "2x0", "-20", "+20", "0x2", " 200", ""})
        check_is_no_reply(reply_with_status(status));
    for (const char* status : {"200", "299", "399", "418", "499", "500", "599"})
        check_is_reply(reply_with_status(status));
}

} // namespace pollengrade
