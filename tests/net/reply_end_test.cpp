/** @file reply_end_test.cpp Truncated, duplicate and late replies on a real socket: guards against passing a
 * reply to the wrong caller and against reporting a truncated reply as complete. */
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

#include "net/client_connection.h"
#include "runtime/loop_clock.h"
#include "support/loopback_listener.h"

namespace pollengrade {

namespace {

constexpr message_limits limits{std::size_t{8} * 1024, std::size_t{64} * 1024};

/** How a server ends its connection after sending. */
enum class server_end : std::uint8_t { stays, closes, resets };

/** How a server responds to the first request. */
struct server_script {
    std::string first; ///< sent at once
    std::string later; ///< sent when the client has the first reply, or after a timeout; empty for nothing
    server_end end = server_end::stays; ///< how the connection ends
};

/** What a connection reported to its owner. */
struct connection_reports {
    std::optional<reply_message> reply;
    std::optional<connection_end> end;
};

/** State shared by the server's thread and the main loop. */
struct shared_state {
    std::atomic<bool> replied{false}; ///< the connection's owner has a reply
    std::atomic<bool> served{false};  ///< the server has completed its script
};

void serve(const loopback_listener& listener, const server_script& it, shared_state& at) {
    const unique_fd connection = listener.accept();
    const int fd = connection.get();
    std::array<char, 1024> buf{};
    ::recv(fd, buf.data(), buf.size(), 0);
    ::send(fd, it.first.data(), it.first.size(), MSG_NOSIGNAL);
    for (int n = 0; n < 200 && !at.replied; ++n)
        ::usleep(1000); // Continues after a timeout if the first reply is incomplete.
    ::send(fd, it.later.data(), it.later.size(), MSG_NOSIGNAL);
    if (it.end == server_end::resets) {
        const linger at_once{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    if (it.end == server_end::stays)
        ::usleep(50'000);
    at.served = true;
}

/** Sends a request to a scripted server and records the connection's reports until the script is complete. */
connection_reports run_server_script(const server_script& it) {
    const loopback_listener listener;
    shared_state at;
    std::thread server{[&listener, &it, &at] { serve(listener, it, at); }};
    loop_clock clock;
    socket_poller poller{clock};
    connection_reports reports;
    client_connection* self = nullptr;
    client_connection_hooks hooks;
    hooks.connected = [&self] {
        outgoing_request request;
        request.header = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        self->send(std::move(request));
    };
    hooks.replied = [&reports, &at](reply_message reply) {
        reports.reply = std::move(reply);
        at.replied = true;
    };
    hooks.ended = [&reports](connection_end why) { reports.end = why; };
    client_connection connection{poller, listener.address(), limits, std::move(hooks)};
    self = &connection;
    REQUIRE(connection.connect());
    while (!at.served) {
        g_main_context_iteration(nullptr, FALSE);
        ::usleep(1000);
    }
    server.join();
    // The server's socket is closed now; its last bytes and its end can be read.
    for (int n = 0; n < 10; ++n)
        g_main_context_iteration(nullptr, FALSE);
    connection.close();
    return reports;
}

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a duplicate reply in the same read: the connection is not kept alive") {
    const connection_reports it = run_server_script({whole + whole, "", server_end::stays});
    REQUIRE(it.reply.has_value());
    CHECK(it.reply->body == "ok");
    CHECK_FALSE(it.reply->keep_alive);
}

TEST_CASE("a late duplicate reply without an open request ends the connection") {
    const connection_reports it = run_server_script({whole, whole, server_end::stays});
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
        const connection_reports reports = run_server_script(it);
        CHECK_FALSE(reports.reply.has_value());
        CHECK(reports.end.has_value());
    }
}

TEST_CASE("a reply without a length is complete at the orderly end of its connection") {
    const connection_reports it = run_server_script({"HTTP/1.1 200 OK\r\n\r\nok", "!", server_end::closes});
    REQUIRE(it.reply.has_value());
    CHECK(it.reply->body == "ok!");
    CHECK_FALSE(it.reply->keep_alive);
}

} // namespace pollengrade
