/** @file endless_bytes_test.cpp Endless input that never becomes a reply is rejected within bounded memory
 * and time. */
#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>
#include <thread>

#include <sys/socket.h>

#include "net/client_connection.h"
#include "net/message_parser.h"
#include "runtime/loop_clock.h"
#include "support/loopback_listener.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

constexpr message_limits small_limits{std::size_t{8} * 1024, std::size_t{64} * 1024};
constexpr std::size_t max_input_bytes =
    std::size_t{4} * 1024 * 1024; ///< bytes fed to a parser at most, far above any limit

/** @return the number of repeated bytes that a parser accepts before it fails; nullopt if it doesn't fail. */
std::optional<std::size_t> accepted_before_error(reply_parser& parser, const std::string& begin,
                                                 const std::string& repeated) {
    if (!parser.feed(begin))
        return 0;
    for (std::size_t accepted = 0; accepted < max_input_bytes; accepted += repeated.size()) {
        if (!parser.feed(repeated))
            return accepted;
    }
    return std::nullopt;
}

const std::string chunked_header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/** A loopback server that sends endless bytes on its first connection until the client closes it. */
class endless_server {
public:
    endless_server(std::string begin, std::string repeated)
        : begin_{std::move(begin)}, repeated_{std::move(repeated)}, thread_{[this] { serve(); }} {}
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;
    endless_server(endless_server&&) = delete;
    endless_server& operator=(endless_server&&) = delete;
    ~endless_server() { thread_.join(); }

    [[nodiscard]] const std::string& address() const noexcept { return listener_.address(); }

private:
    void serve() {
        const unique_fd connection = listener_.accept();
        const int fd = connection.get();
        std::string bytes = begin_;
        for (int n = 0; n < 1000; ++n)
            bytes += repeated_;
        // Sending fails once the client has closed the connection.
        bool is_open = fd >= 0 && ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
        bytes.erase(0, begin_.size());
        while (is_open)
            is_open = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
    }

    loopback_listener listener_; ///< accepts the connection
    std::string begin_;          ///< sent first
    std::string repeated_;       ///< sent repeatedly afterwards
    std::thread thread_;         ///< writes without pause until the client closes the connection
};

/** Result of a request to an endless server. */
struct request_result {
    std::optional<connection_end> end; ///< nullopt if the connection didn't end in time
    bool timer_ran = false;            ///< whether the loop ran a timer meanwhile
};

request_result send_request(const endless_server& server, message_limits limits, duration end_timeout) {
    loop_clock clock;
    socket_poller poller{clock};
    request_result result;
    bool is_finished = false;
    client_connection* self = nullptr;
    client_connection_hooks hooks;
    hooks.connected = [&self] {
        outgoing_request request;
        request.header = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        self->send(std::move(request));
    };
    hooks.replied = [&is_finished](const reply_message&) { is_finished = true; };
    hooks.ended = [&is_finished, &result](connection_end why) {
        result.end = why;
        is_finished = true;
    };
    client_connection connection{poller, server.address(), limits, std::move(hooks)};
    self = &connection;
    REQUIRE(connection.connect());
    clock.timers().schedule_after(milliseconds{20}, [&result] { result.timer_ran = true; });
    clock.timers().schedule_after(end_timeout, [&is_finished] { is_finished = true; });
    while (!is_finished || !result.timer_ran)
        g_main_context_iteration(nullptr, TRUE);
    connection.close();
    return result;
}

} // namespace

TEST_CASE("endless bytes: header, chunk size line, chunk extensions, trailers and body are bounded in size") {
    struct endless {
        const char* where;
        std::string begin;
        std::string repeated;
    };
    const std::array<endless, 7> cases{{
        {"head", "HTTP/1.1 200 OK\r\n", "x-a: b\r\n"},
        {"status line", "HTTP/1.1 200 ", "OK"},
        {"chunk size", chunked_header, "0000"},
        {"chunk extension", chunked_header + "1;", "name=value;"},
        {"many extensions", chunked_header, "1;" + std::string(100, 'e') + "\r\nx\r\n"},
        {"trailers", chunked_header + "0\r\n", "x-a: b\r\n"},
        {"body without length", "HTTP/1.1 200 OK\r\n\r\n", std::string(100, 'b')},
    }};
    for (const endless& it : cases) {
        CAPTURE(it.where);
        reply_parser parser{small_limits};
        const auto accepted = accepted_before_error(parser, it.begin, it.repeated);
        REQUIRE(accepted.has_value());
        CHECK(*accepted <= 3 * (small_limits.header_bytes + small_limits.body_bytes));
    }
}

TEST_CASE("endless bytes: a reply in chunks of one byte each is accepted completely") {
    reply_parser parser{small_limits};
    REQUIRE(parser.feed(chunked_header));
    for (int n = 0; n < 5000; ++n)
        REQUIRE(parser.feed("1\r\nx\r\n"));
    REQUIRE(parser.feed("0\r\n\r\n"));
    CHECK(parser.stage() == parse_stage::complete);
    CHECK(parser.take().body.size() == 5000);
}

TEST_CASE("endless bytes: a server that sends without pause does not block the loop and is disconnected") {
    const std::array<std::array<std::string, 2>, 3> cases{{
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {chunked_header, "1;" + std::string(1000, 'e') + "\r\nx\r\n"},
        {chunked_header + "0\r\n", "x-a: b\r\n"},
    }};
    for (const auto& it : cases) {
        CAPTURE(it[1]);
        const endless_server server{it[0], it[1]};
        const request_result result = send_request(server, small_limits, milliseconds{10000});
        CHECK(result.timer_ran);
        CHECK(result.end == connection_end::unreadable);
    }
}

} // namespace pollengrade
