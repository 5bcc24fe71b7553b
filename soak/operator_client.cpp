/** @file operator_client.cpp Builds the routes object and writes it to the store. */
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

void write_route(json_writer& out, route_kind kind, std::uint64_t version) {
    namespace wire = wire_names;
    const std::string prefix = path_of(kind, version);
    const auto timeout = kind == route_kind::gather ? gather_timeout : single_timeout;
    out.begin_object().member(wire::name, prefix.substr(1, prefix.size() - 2));
    out.member(wire::host, routes_host).member(wire::prefix, prefix);
    out.member(wire::kind, kind == route_kind::order ? wire::unsafe : wire::safe);
    out.member(wire::timeout_ms, to_milliseconds(timeout));
    out.member(wire::target_ms, to_milliseconds(gather_target)).member(wire::priority, std::uint64_t{1});
    out.member(wire::max_attempts, max_server_attempts);
}

} // namespace

std::string routes_object(const route_version& version, std::uint64_t revision,
                          std::uint32_t max_connections) {
    namespace wire = wire_names;
    json_writer out;
    out.begin_object().name(wire::meta).begin_object().member(wire::name, wire::routes_name);
    if (revision != 0)
        out.member(wire::revision, revision);
    out.end_object().name(wire::spec).begin_object().member(wire::version, version.number);
    out.name(wire::routes).begin_array();
    write_route(out, route_kind::gather, version.number);
    out.name(wire::gather).begin_array();
    for (const std::uint32_t shard : version.shards)
        out.value(service_text(shard));
    out.end_array().member(wire::max_records, std::uint64_t{max_records});
    out.name(wire::min_shard_ratio).raw("0.75").end_object();
    write_route(out, route_kind::lookup, version.number);
    out.member(wire::service, service_text(lookup_service)).end_object();
    write_route(out, route_kind::order, version.number);
    out.member(wire::service, service_text(order_service)).end_object();
    write_route(out, route_kind::versioned, version.number);
    out.member(wire::service, service_text(versioned_service)).end_object();
    out.end_array().name(wire::services).begin_array();
    for (std::uint32_t n = 0; n < service_count; ++n) {
        out.begin_object().member(wire::name, service_text(n));
        out.member(wire::max_connections, max_connections).end_object();
    }
    out.end_array().name(wire::limits).begin_object();
    out.member(wire::header_bytes, std::uint64_t{16384}).member(wire::body_bytes, std::uint64_t{262144});
    out.member(wire::header_timeout_ms, std::uint64_t{3000});
    out.member(wire::idle_timeout_ms, std::uint64_t{15000});
    return out.end_object().end_object().end_object().take();
}

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
