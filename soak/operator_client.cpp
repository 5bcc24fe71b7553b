/** @file operator_client.cpp Writes the routes object to the store. */
#include "operator_client.h"

#include <utility>

#include "net/message_writer.h"
#include "routes_text.h"

namespace pollengrade {

namespace {

constexpr message_limits reply_limits{std::size_t{64} * 1024, std::size_t{1024} * 1024};
constexpr duration call_timeout = std::chrono::seconds{1};
constexpr duration retry_delay = std::chrono::milliseconds{100};
constexpr unsigned created = 201;
constexpr unsigned conflict = 409;

} // namespace

operator_client::operator_client(socket_poller& poller, timer_queue& timers, const soak_config& config)
    : poller_{poller}, timers_{timers}, config_{config} {}

void operator_client::write(std::vector<std::uint32_t> shards) {
    if (!versions_.empty() && !is_acknowledged())
        return;
    const std::uint64_t number = versions_.empty() ? 1 : versions_.back().number + 1;
    versions_.push_back({number, std::move(shards), timers_.now(), {}});
    send_call();
}

void operator_client::send_call() {
    const std::string path = std::string{wire_names::objects_path} + wire_names::routes_kind;
    request_message message{exists_ ? "PUT" : "POST",
                            exists_ ? path + "/" + wire_names::routes_name : path,
                            {{"Host", config_.store_address()}, {"Connection", "close"}},
                            {},
                            false};
    outgoing_request out;
    out.body =
        std::make_shared<const std::string>(routes_object(versions_.back(), 0, config_.max_connections()));
    append_request_header(out.header, message, out.body->size());
    out.header += "\r\n";
    client_connection_hooks hooks;
    hooks.connected = [this, out] { connection_->send(out); };
    hooks.replied = [this](const reply_message& reply) { on_reply(reply.status); };
    hooks.ended = [this](connection_end) { finish_call(); };
    connection_ =
        std::make_unique<client_connection>(poller_, config_.store_address(), reply_limits, std::move(hooks));
    timeout_ = timers_.schedule_after(call_timeout, [this] {
        timeout_.reset();
        finish_call();
    });
    if (!connection_->connect())
        finish_call();
}

void operator_client::on_reply(unsigned status) {
    constexpr unsigned ok = 200;
    if (status == created || status == conflict)
        exists_ = true;
    if (status == ok || status == created)
        versions_.back().acknowledged = timers_.now();
    finish_call();
}

void operator_client::finish_call() {
    if (timeout_)
        timers_.cancel(*std::exchange(timeout_, std::nullopt));
    connection_->close();
    if (retired_.empty())
        timers_.schedule_after(duration{0}, [this] { retired_.clear(); });
    retired_.push_back(std::move(connection_));
    if (!is_acknowledged())
        timers_.schedule_after(retry_delay, [this] { send_call(); });
}

} // namespace pollengrade
