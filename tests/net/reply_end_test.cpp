/** @file reply_end_test.cpp Replies that end early, twice or late, from a real socket: never another caller's
 * answer, never complete when they are not. */
#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>
#include <thread>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/client_connection.h"
#include "net/socket_func.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

constexpr message_limits limits{std::size_t{8} * 1024, std::size_t{64} * 1024};

/** How a server ends its connection after what it sent. */
enum class server_end : std::uint8_t { stays, closes, resets };

/** What a server does with the first request. */
struct script {
    std::string first;                  ///< sent at once
    std::string later;                  ///< sent when the first has arrived; empty for nothing
    server_end end = server_end::stays; ///< what follows
};

/** What a connection told its owner. */
struct connection_story {
    std::optional<reply_message> reply;
    std::optional<connection_end> end;
};

void serve(const unique_fd& listener, const script& it) {
    int fd = -1;
    for (int n = 0; n < 1000 && fd < 0; ++n) {
        fd = ::accept(listener.get(), nullptr, nullptr);
        if (fd < 0)
            ::usleep(1000);
    }
    std::array<char, 1024> buf{};
    ::recv(fd, buf.data(), buf.size(), 0);
    ::send(fd, it.first.data(), it.first.size(), MSG_NOSIGNAL);
    ::usleep(50'000);
    ::send(fd, it.later.data(), it.later.size(), MSG_NOSIGNAL);
    if (it.end == server_end::resets) {
        const linger at_once{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    if (it.end == server_end::stays)
        ::usleep(150'000);
    ::close(fd);
}

/** Sends one request to a server with a script, and listens to the connection until it is over. */
connection_story play(const script& it) {
    const unique_fd listener = listen_at("127.0.0.1:0");
    REQUIRE(listener.is_valid());
    sockaddr_in at{};
    socklen_t size = sizeof(at);
    // NOLINTNEXTLINE(*-reinterpret-cast): the socket interface's way
    REQUIRE(::getsockname(listener.get(), reinterpret_cast<sockaddr*>(&at), &size) == 0);
    std::thread server{[&listener, &it] { serve(listener, it); }};
    loop_clock clock;
    socket_poller poller{clock};
    connection_story story;
    client_connection* self = nullptr;
    client_connection_hooks hooks;
    hooks.connected = [&self] {
        outgoing_request request;
        request.header = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        self->send(std::move(request));
    };
    hooks.replied = [&story](reply_message reply) { story.reply = std::move(reply); };
    hooks.ended = [&story](connection_end why) { story.end = why; };
    client_connection connection{poller, "127.0.0.1:" + std::to_string(ntohs(at.sin_port)), limits,
                                 std::move(hooks)};
    self = &connection;
    REQUIRE(connection.connect());
    bool over = false;
    clock.timers().schedule_after(milliseconds{300}, [&over] { over = true; });
    while (!over)
        g_main_context_iteration(nullptr, TRUE);
    connection.close();
    server.join();
    return story;
}

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a second copy of a reply in the same read ends the connection: nothing is sent on it again") {
    const connection_story it = play({whole + whole, "", server_end::stays});
    REQUIRE(it.reply.has_value());
    CHECK(it.reply->body == "ok");
    CHECK_FALSE(it.reply->keep_alive);
}

TEST_CASE("a second copy of a reply that comes late, with no request waiting, ends the connection") {
    const connection_story it = play({whole, whole, server_end::stays});
    REQUIRE(it.reply.has_value());
    CHECK(it.reply->keep_alive);
    CHECK(it.end == connection_end::stray);
}

TEST_CASE("a reply that breaks off is never complete") {
    const std::array<script, 6> cases{{
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "", server_end::closes},
        {chunked + "2\r\nok\r\n", "", server_end::closes},
        {chunked + "9\r\nok", "", server_end::closes},
        {chunked + "2\r\nok\r\n0\r\n", "", server_end::closes},
        {"HTTP/1.1 200 OK\r\n", "", server_end::closes},
        {"HTTP/1.1 200 OK\r\n\r\nok", "", server_end::resets},
    }};
    for (const script& it : cases) {
        CAPTURE(it.first);
        const connection_story story = play(it);
        CHECK_FALSE(story.reply.has_value());
        CHECK(story.end.has_value());
    }
}

TEST_CASE("a reply without a length is complete by the clean end of its connection") {
    const connection_story it = play({"HTTP/1.1 200 OK\r\n\r\nok", "!", server_end::closes});
    REQUIRE(it.reply.has_value());
    CHECK(it.reply->body == "ok!");
    CHECK_FALSE(it.reply->keep_alive);
}

} // namespace pollengrade
