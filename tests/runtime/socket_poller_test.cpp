/** @file socket_poller_test.cpp Received bytes are read before the timers that are due. */
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include "net/socket_poller.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

namespace {

/** Many connections with unread bytes, as after a suspension of the process. */
struct unread_sockets {
    explicit unread_sockets(std::size_t count) {
        for (std::size_t n = 0; n < count; ++n) {
            std::array<int, 2> ends{};
            REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
            near.emplace_back(ends[0]);
            far.emplace_back(ends[1]);
            REQUIRE(::write(ends[1], "x", 1) == 1);
        }
    }

    std::vector<unique_fd> near;
    std::vector<unique_fd> far;
};

} // namespace

TEST_CASE("after a suspension a process reads all received bytes before its overdue timers run") {
    constexpr std::size_t connections = 90;
    loop_clock clock;
    socket_poller poller{clock};
    unread_sockets sockets{connections};
    std::size_t read_before_timer = 0;
    std::size_t read = 0;
    std::vector<socket_watch> watches;
    for (const unique_fd& fd : sockets.near) {
        watches.push_back(poller.add(fd, {true, false}, [&read, &fd](socket_events) {
            char c = 0;
            read += static_cast<std::size_t>(::read(fd.get(), &c, 1));
        }));
    }
    bool fired = false;
    clock.timers().schedule_after(std::chrono::milliseconds{1}, [&] {
        fired = true;
        read_before_timer = read;
    });
    ::usleep(20'000); // Simulates the suspension.
    while (!fired || read < connections)
        g_main_context_iteration(nullptr, TRUE);
    CHECK(read_before_timer == connections);
}

TEST_CASE("connections that always have bytes to read do not starve timers") {
    loop_clock clock;
    socket_poller poller{clock};
    unread_sockets sockets{1};
    const auto watch =
        poller.add(sockets.near.front(), {true, false}, [](socket_events) {}); // Leaves the byte unread.
    bool fired = false;
    clock.timers().schedule_after(std::chrono::milliseconds{5}, [&] { fired = true; });
    for (int n = 0; n < 100'000 && !fired; ++n)
        g_main_context_iteration(nullptr, FALSE);
    CHECK(fired);
}

} // namespace pollengrade
