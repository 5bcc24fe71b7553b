/** @file reply_end_test.cpp Truncated, duplicate and late replies on a real socket: guards against passing a
 * reply to the wrong caller and against reporting a truncated reply as complete. */
#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "support/scripted_server.h"

namespace pollengrade {

namespace {

constexpr message_limits limits{std::size_t{8} * 1024, std::size_t{64} * 1024};

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

constexpr std::size_t long_body_bytes =
    std::size_t{16} * 1024 * 1024; ///< more than the buffers on the way hold

/** A server's end of a connection whose client is still writing its request, and what the client reports. */
class early_reply {
public:
    early_reply() : connection_{poller_, listener_.address(), limits, make_hooks()} {
        REQUIRE(connection_.connect());
        server_ = std::make_unique<unique_fd>(listener_.accept());
        for (int n = 0; n < 100 && !connection_.is_busy(); ++n)
            turn();
        REQUIRE(connection_.is_busy());
        turn();
    }

    void send(std::string_view bytes) const {
        REQUIRE(::send(server_->get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
    }
    /** Closes the connection, which resets it, as a part of the request has not been read. */
    void reset() { server_.reset(); }
    void end_stream() const { ::shutdown(server_->get(), SHUT_WR); }
    /** Lets the client's event loop run. */
    void turn() {
        for (int n = 0; n < 20; ++n) {
            g_main_context_iteration(nullptr, FALSE);
            ::usleep(200);
        }
    }
    /** Lets it run until the client reports. */
    const connection_reports& reports() {
        for (int n = 0; n < 100 && !reports_.reply && !reports_.end; ++n)
            turn();
        return reports_;
    }
    client_connection& connection() { return connection_; }
    /** Makes the client pause when it has read bytes of a reply. */
    void pause_reading() { reads_on_ = false; }

private:
    client_connection_hooks make_hooks() {
        client_connection_hooks hooks;
        hooks.connected = [this] {
            outgoing_request request;
            request.body = std::make_shared<const std::string>(long_body_bytes, 'b');
            request.header =
                "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(long_body_bytes) +
                "\r\n\r\n";
            connection_.send(std::move(request));
        };
        hooks.replied = [this](reply_message reply) { reports_.reply = std::move(reply); };
        hooks.ended = [this](connection_end why) { reports_.end = why; };
        hooks.received = [this](const reply_extent&) { return reads_on_; };
        return hooks;
    }

    loopback_listener listener_;
    loop_clock clock_;
    socket_poller poller_{clock_};
    connection_reports reports_;
    bool reads_on_ = true;
    client_connection connection_;
    std::unique_ptr<unique_fd> server_; ///< destroyed to close the server's end
};

} // namespace

// MIXED: a write consumed the error of the reset, the read after it found the end of the stream, and half of
// a reply without a length passed for a whole one.
TEST_CASE("a reply without a length that is reset while the request is still written is not complete") {
    SUBCASE("the reset comes with the reply") {
        early_reply it;
        it.send("HTTP/1.1 200 OK\r\n\r\nhalf");
        it.reset();
        CHECK(it.reports().end == connection_end::reset);
        CHECK_FALSE(it.reports().reply.has_value());
    }
    SUBCASE("the reset comes when a part of the reply has been read") {
        early_reply it;
        it.send("HTTP/1.1 200 OK\r\n\r\nha");
        it.turn();
        it.send("lf");
        it.reset();
        CHECK(it.reports().end == connection_end::reset);
        CHECK_FALSE(it.reports().reply.has_value());
    }
    SUBCASE("the reset comes before a byte of the body") {
        early_reply it;
        it.send("HTTP/1.1 200 OK\r\n\r\n");
        it.reset();
        CHECK(it.reports().end.has_value());
        CHECK_FALSE(it.reports().reply.has_value());
    }
    SUBCASE("the reset comes while reading is paused") {
        early_reply it;
        it.pause_reading();
        it.send("HTTP/1.1 200 OK\r\n\r\nhalf");
        it.turn();
        it.reset();
        it.turn();
        it.connection().resume();
        CHECK(it.reports().end.has_value());
        CHECK_FALSE(it.reports().reply.has_value());
    }
    SUBCASE("the stream ends in order, then the connection is reset") {
        early_reply it;
        it.send("HTTP/1.1 200 OK\r\n\r\nhalf");
        it.end_stream();
        it.reset();
        CHECK(it.reports().end.has_value());
        CHECK_FALSE(it.reports().reply.has_value());
    }
    SUBCASE("the stream ends in order, but before the request is written") {
        early_reply it;
        it.send("HTTP/1.1 200 OK\r\n\r\nhalf");
        it.end_stream();
        CHECK(it.reports().end == connection_end::closed);
        CHECK_FALSE(it.reports().reply.has_value());
    }
}

TEST_CASE("an early reply with a length is complete, also if the connection is reset behind it") {
    for (const std::string& reply : {whole, chunked + "2\r\nok\r\n0\r\n\r\n"}) {
        early_reply it;
        it.send(reply);
        it.reset();
        REQUIRE(it.reports().reply.has_value());
        CHECK(it.reports().reply->body == "ok");
        CHECK_FALSE(it.reports().reply->keep_alive);
    }
}

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
