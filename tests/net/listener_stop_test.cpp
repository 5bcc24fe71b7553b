/** @file listener_stop_test.cpp The end of a listener on a real socket: requests that have arrived are
 * answered. */
#include <doctest/doctest.h>

#include <array>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

#include "net/http_listener.h"
#include "net/socket_func.h"
#include "runtime/loop_clock.h"
#include "support/loopback_listener.h"

namespace pollengrade {

namespace {

constexpr caller_limits limits{
    {std::size_t{8} * 1024, std::size_t{8} * 1024}, std::chrono::seconds{3}, std::chrono::seconds{3}};
constexpr std::string_view request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/** A listener that answers each request with 503, and one caller's connection to it. */
struct fixture {
    fixture() {
        const std::string address = loopback_listener{}.address(); // Its port is free again.
        REQUIRE(listener.listen(address));
        caller = start_connect(address, slow_keepalive_limits());
        run_until([this] { return listener.connections() == 1; });
    }

    template <typename Condition> void run_until(Condition is_met) {
        for (int n = 0; n < 1000 && !is_met(); ++n)
            iterate();
        REQUIRE(is_met());
    }

    static void iterate() {
        g_main_context_iteration(nullptr, FALSE);
        ::usleep(1000);
    }

    void send(std::string_view bytes) const {
        REQUIRE(::send(caller.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
    }

    /** @return what the caller has received so far; "end" for an orderly end, "reset" for a reset. */
    std::string received() const {
        std::array<char, 1024> buf{};
        const ssize_t n = ::recv(caller.get(), buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0)
            return {buf.data(), static_cast<std::size_t>(n)};
        return n == 0 ? "end" : would_block() ? "" : "reset";
    }

    loop_clock clock;
    socket_poller poller{clock};
    int requests = 0;
    metrics counts;
    caller_memory memory{1'000'000, clock.timers(), counts};
    http_listener listener{poller,
                           clock.timers(),
                           memory,
                           counts,
                           16,
                           {[this](exchange_id id, const request_message&) {
                                ++requests;
                                reply_message reply;
                                reply.status = 503;
                                listener.reply(id, reply);
                            },
                            [](exchange_id) {}, [] { return limits; }}};
    unique_fd caller;
};

} // namespace

// LOST: a request that had arrived unread was cut, and its connection reset.
TEST_CASE("a request that has arrived unread is answered when idle connections are closed") {
    fixture it;
    it.send(request);
    it.listener.disable_keep_alive();
    it.listener.close_idle();
    CHECK(it.requests == 1);
    CHECK(it.received().starts_with("HTTP/1.1 503"));
}

TEST_CASE("a connection without a request is closed in order, one with half a request is kept") {
    fixture it;
    it.send(request.substr(0, 9));
    it.listener.close_idle();
    CHECK(it.listener.open_exchanges() == 1);
    CHECK(it.received().empty());
    fixture other;
    other.listener.close_idle();
    CHECK(other.received() == "end");
}

TEST_CASE("a listener that stops accepting serves the connections it has") {
    fixture it;
    it.listener.stop_accepting();
    it.listener.stop_accepting();
    it.send(request);
    it.run_until([&it] { return it.requests == 1; });
    CHECK(it.received().starts_with("HTTP/1.1 503"));
}

} // namespace pollengrade
