/** @file reply_end_test.cpp Truncated, duplicate and late replies on a real socket: guards against passing a
 * reply to the wrong caller and against reporting a truncated reply as complete. */
#include <doctest/doctest.h>

#include <array>
#include <string>

#include "support/scripted_server.h"

namespace pollengrade {

namespace {

constexpr message_limits limits{std::size_t{8} * 1024, std::size_t{64} * 1024};

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a duplicate reply in the same read: the connection is not kept alive") {
    const connection_reports it = run_server_script({whole + whole, "", server_end::stays}, limits);
    REQUIRE(it.reply.has_value());
    CHECK(it.reply->body == "ok");
    CHECK_FALSE(it.reply->keep_alive);
}

TEST_CASE("a late duplicate reply without an open request ends the connection") {
    const connection_reports it = run_server_script({whole, whole, server_end::stays}, limits);
    REQUIRE(it.reply.has_value());
    CHECK(it.reply->keep_alive);
    CHECK(it.end == connection_end::stray);
}

TEST_CASE("a truncated reply is never reported as complete") {
    const std::array<server_script, 6> cases{{
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "", server_end::closes},
        {chunked + "2\r\nok\r\n", "", server_end::closes},
        {chunked + "9\r\nok", "", server_end::closes},
        {chunked + "2\r\nok\r\n0\r\n", "", server_end::closes},
        {"HTTP/1.1 200 OK\r\n", "", server_end::closes},
        {"HTTP/1.1 200 OK\r\n\r\nok", "", server_end::resets},
    }};
    for (const server_script& it : cases) {
        CAPTURE(it.first);
        const connection_reports reports = run_server_script(it, limits);
        CHECK_FALSE(reports.reply.has_value());
        CHECK(reports.end.has_value());
    }
}

TEST_CASE("a reply without a length is complete at the orderly end of its connection") {
    const connection_reports it =
        run_server_script({"HTTP/1.1 200 OK\r\n\r\nok", "!", server_end::closes}, limits);
    REQUIRE(it.reply.has_value());
    CHECK(it.reply->body == "ok!");
    CHECK_FALSE(it.reply->keep_alive);
}

} // namespace pollengrade
