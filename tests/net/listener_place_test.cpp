/** @file listener_place_test.cpp A listener without a place for another connection. */
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include "net/http_listener.h"
#include "net/socket_func.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

namespace {

constexpr caller_limits limits{{1024, 1024}, std::chrono::seconds{3}, std::chrono::seconds{15}};
constexpr const char* address = "127.0.0.1:17655";
constexpr std::string_view request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr duration unchanged = std::chrono::milliseconds{600}; ///< enough to be little used

/** A listener of two places that answers every request. */
struct fixture {
    fixture() { REQUIRE(listener.listen(address)); }

    /** Runs the main loop for a while. */
    void run(duration length) const {
        const time_point end = monotonic_now() + length;
        while (monotonic_now() < end) {
            g_main_context_iteration(nullptr, FALSE);
            ::usleep(1000);
        }
    }

    /** @return a connection that has been accepted, if there is a place. */
    unique_fd connect() const {
        unique_fd it = start_connect(address, slow_keepalive_limits());
        run(std::chrono::milliseconds{50});
        return it;
    }

    static void ask(const unique_fd& fd) { CHECK(::send(fd.get(), request.data(), request.size(), 0) > 0); }

    /** Reads all replies. @return whether the other side has closed the connection. */
    static bool is_closed(const unique_fd& fd) {
        std::array<char, 4096> buf{};
        ssize_t n = 0;
        do
            n = ::recv(fd.get(), buf.data(), buf.size(), MSG_DONTWAIT);
        while (n > 0);
        return n == 0;
    }

    loop_clock clock;
    socket_poller poller{clock};
    metrics counts;
    caller_memory memory{1'000'000, clock.timers(), counts};
    int requests = 0;
    std::vector<std::string> targets; ///< of all requests, in the order of reading
    http_listener listener{poller,
                           clock.timers(),
                           memory,
                           counts,
                           2,
                           {[this](exchange_id id, const request_message& message) {
                                ++requests;
                                targets.push_back(message.target);
                                reply_message reply;
                                reply.status = 200;
                                listener.reply(id, reply);
                            },
                            [](exchange_id) {}, [] { return limits; }}};
};

} // namespace

TEST_CASE("a silent connection gives its place to a new one, and a kept one stays") {
    fixture it;
    const unique_fd kept = it.connect();
    fixture::ask(kept);
    const unique_fd silent = it.connect();
    it.run(unchanged);
    const unique_fd next = it.connect();
    fixture::ask(next);
    it.run(std::chrono::milliseconds{50});
    CHECK(it.requests == 2);
    CHECK(fixture::is_closed(silent));
    CHECK_FALSE(fixture::is_closed(kept));
}

TEST_CASE("requests sent at once on one connection do not delay the request of another caller") {
    fixture it;
    const unique_fd many = it.connect();
    const unique_fd other = it.connect();
    std::string bytes;
    for (int n = 0; n < 100; ++n)
        bytes += request;
    CHECK(::send(many.get(), bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
    const std::string_view one = "GET /other HTTP/1.1\r\nHost: a\r\n\r\n";
    CHECK(::send(other.get(), one.data(), one.size(), 0) > 0);
    it.run(std::chrono::milliseconds{300});
    CHECK(it.requests == 101);
    const auto at = std::find(it.targets.begin(), it.targets.end(), "/other");
    CHECK(at - it.targets.begin() < 10);
}

TEST_CASE("a request that has arrived unread is served when its idle connection should give up its place") {
    fixture it;
    const unique_fd first = it.connect();
    fixture::ask(first);
    const unique_fd second = it.connect();
    fixture::ask(second);
    it.run(unchanged);
    // Both arrive before the main loop runs again: the request of the oldest idle connection, and a new
    // caller.
    const unique_fd next = start_connect(address, slow_keepalive_limits());
    fixture::ask(first);
    it.run(std::chrono::milliseconds{50});
    CHECK(it.requests == 3);
    CHECK_FALSE(fixture::is_closed(first));
}

} // namespace pollengrade
