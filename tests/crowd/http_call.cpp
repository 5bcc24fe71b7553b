/** @file http_call.cpp A call over a connection of the product's own client. */
#include "crowd/http_call.h"

#include <memory>
#include <utility>

#include <glib.h>
#include <unistd.h>

#include "net/client_connection.h"
#include "net/message_writer.h"
#include "platform/wire_names.h"
#include "routes_text.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

namespace {

constexpr duration call_limit = std::chrono::seconds{5}; ///< the longest deadline of the users' callers
constexpr message_limits reply_limits{std::size_t{64} * 1024, std::size_t{8} * 1024 * 1024};

} // namespace

std::string caller_lines(const std::string& id) {
    return std::string{"Host: "} + routes_host + "\r\n" + wire_names::request_id + ": " + id + "\r\n" +
           wire_names::deadline_ms + ": " + std::to_string(to_milliseconds(call_limit)) + "\r\n";
}

std::optional<unsigned> call(const std::string& address, const std::string& method, const std::string& path,
                             const std::string& body) {
    loop_clock clock;
    socket_poller poller{clock};
    std::optional<unsigned> status;
    bool ended = false;
    client_connection* self = nullptr;
    outgoing_request out;
    out.header = method + " " + path + " HTTP/1.1\r\n" + caller_lines("ordinary");
    if (!body.empty()) {
        out.body = std::make_shared<const std::string>(body);
        out.header += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    out.header += "\r\n";
    client_connection_hooks hooks;
    hooks.connected = [&self, &out] { self->send(std::move(out)); };
    hooks.replied = [&status, &ended](const reply_message& reply) {
        status = reply.status;
        ended = true;
    };
    hooks.ended = [&ended](connection_end) { ended = true; };
    client_connection connection{poller, address, reply_limits, std::move(hooks)};
    self = &connection;
    const time_point limit = monotonic_now() + call_limit;
    ended = !connection.connect();
    while (!ended && monotonic_now() < limit) {
        g_main_context_iteration(nullptr, FALSE);
        ::usleep(1000);
    }
    connection.close();
    return status;
}

} // namespace pollengrade
