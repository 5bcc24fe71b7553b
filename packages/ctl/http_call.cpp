/** @file http_call.cpp Implements blocking HTTP calls on a main loop. */
#include "ctl/http_call.h"

#include <memory>
#include <optional>
#include <utility>

#include "ctl/call_loop.h"
#include "net/client_connection.h"
#include "net/message_writer.h"

namespace pollengrade {

namespace {

constexpr message_limits reply_limits{std::size_t{64} * 1024, std::size_t{64} * 1024 * 1024};

} // namespace

tl::expected<call_reply, call_error> call(const call_request& request) {
    call_loop loop;
    std::optional<tl::expected<call_reply, call_error>> result;
    request_message message{request.method, request.path, {{"Host", request.address}}, {}, false};
    message.fields.push_back({"Connection", "close"});
    for (const auto& [name, value] : request.headers)
        message.fields.push_back({name, value});
    outgoing_request outgoing;
    if (!request.body.empty())
        outgoing.body = std::make_shared<const std::string>(request.body);
    append_request_header(outgoing.header, message, request.body.size());
    outgoing.header += "\r\n";

    std::unique_ptr<client_connection> connection;
    const auto fail = [&] {
        const bool may_have_been_sent = connection->state() >= send_state::something_written;
        result = tl::unexpected{may_have_been_sent ? call_error::reply_lost : call_error::not_sent};
        loop.quit();
    };
    client_connection_hooks hooks;
    hooks.connected = [&] { connection->send(std::move(outgoing)); };
    hooks.replied = [&](const reply_message& reply) {
        result = call_reply{reply.status, reply.body};
        loop.quit();
    };
    hooks.ended = [&](connection_end) { fail(); };
    connection =
        std::make_unique<client_connection>(loop.poller(), request.address, reply_limits, std::move(hooks));
    if (!connection->connect())
        return tl::unexpected{call_error::not_sent};
    loop.timers().schedule_after(std::chrono::seconds{request.timeout_seconds}, fail);
    loop.run();
    return *result;
}

} // namespace pollengrade
