/** @file scripted_server.h A loopback server that sends given bytes, and what a connection makes of them. */
#pragma once

#include <array>
#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/client_connection.h"
#include "runtime/loop_clock.h"
#include "support/loopback_listener.h"

namespace pollengrade {

/** How a server ends its connection after sending. */
enum class server_end : std::uint8_t { stays, closes, resets };

/** How a server responds to the first request. */
struct server_script {
    std::string first; ///< sent at once
    std::string later; ///< sent when the client has reported, or after a timeout; empty for nothing
    server_end end = server_end::stays; ///< how the connection ends
    int wait_ms = 200;                  ///< timeout before `later`
};

/** What a connection reported to its owner. */
struct connection_reports {
    std::optional<reply_message> reply;
    std::optional<connection_end> end;
};

/** State shared by the server's thread and the main loop. */
struct script_state {
    std::atomic<bool> reported{false}; ///< the connection's owner has a reply, or the connection has ended
    std::atomic<bool> served{false};   ///< the server has completed its script
};

inline void serve_script(const loopback_listener& listener, const server_script& it, script_state& at) {
    const unique_fd connection = listener.accept();
    const int fd = connection.get();
    std::array<char, 1024> buf{};
    ::recv(fd, buf.data(), buf.size(), 0);
    ::send(fd, it.first.data(), it.first.size(), MSG_NOSIGNAL);
    for (int n = 0; n < it.wait_ms && !at.reported; ++n)
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
inline connection_reports run_server_script(const server_script& it, message_limits limits) {
    const loopback_listener listener;
    script_state at;
    std::thread server{[&listener, &it, &at] { serve_script(listener, it, at); }};
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
        at.reported = true;
    };
    hooks.ended = [&reports, &at](connection_end why) {
        reports.end = why;
        at.reported = true;
    };
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

} // namespace pollengrade
