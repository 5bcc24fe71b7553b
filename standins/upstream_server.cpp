/** @file upstream_server.cpp Request handling and fault injection of a stand-in server. */
#include "upstream_server.h"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdio>
#include <optional>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "broken_reply_sender.h"
#include "core/base/id_type.h"
#include "http/header_names.h"
#include "http/uri_func.h"
#include "part_func.h"
#include "platform/wire_names.h"
#include "soup/soup_func.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

constexpr duration sweep_period = std::chrono::milliseconds{100}; ///< interval of close_ended_connections()
constexpr std::uint32_t cold_factor = 5;                          ///< slowdown of requests during warm-up
constexpr std::uint64_t per_mille = 1000; ///< unit of upstream_behaviour::straggle_per_mille

std::string header(SoupServerMessage* message, const char* name) {
    const char* it = soup_message_headers_get_one(soup_server_message_get_request_headers(message), name);
    return it == nullptr ? std::string{} : std::string{it};
}

std::uint64_t number(const std::string& text) {
    return parse_natural(text.c_str()).value_or(0);
}

std::string query_text(GHashTable* query, const char* name) {
    const char* it = query == nullptr ? nullptr : static_cast<const char*>(g_hash_table_lookup(query, name));
    return it == nullptr ? std::string{} : std::string{it};
}

std::uint16_t remote_port(SoupServerMessage* message) {
    GSocketAddress* it = soup_server_message_get_remote_address(message);
    return it == nullptr ? std::uint16_t{0} : g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(it));
}

void refuse(SoupServerMessage* message, const char* reason) {
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, not_run_header, reason);
    soup_message_headers_replace(headers, retry_after_ms_header, "20");
    soup_server_message_set_status(message, SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
}

constexpr std::string_view half_head = "HTTP/1.1 200 OK\r\nContent-Length: 32\r\nX-Ser";
constexpr double milliseconds_per_second = 1000;

void refuse_forwarded(SoupServerMessage* message, unsigned status, double pause_s) {
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, wire_names::not_run, "1");
    soup_message_headers_replace(headers, wire_names::retry_after, std::to_string(pause_s).c_str());
    soup_server_message_set_status(message, status, nullptr);
}

/** Prints the line before the request runs, so that a request is recorded even if the process is killed
 * meanwhile. */
void print_run(const forwarded_names& names, SoupServerMessage* message, const std::string& request) {
    std::printf("run %lld %s %s %s %s %s %s\n", // NOLINT(*-vararg): a fixed line
                static_cast<long long>(wall_now().time_since_epoch().count()), request.c_str(),
                names.service.c_str(), names.incarnation().c_str(), soup_server_message_get_method(message),
                g_uri_get_path(soup_server_message_get_uri(message)),
                soup_server_message_get_remote_host(message));
    std::fflush(stdout);
}

/** Prints that an answer states that its server leaves. */
void print_leaving(const forwarded_names& names, SoupServerMessage* message, const std::string& request) {
    std::printf("leaving %lld %s %s %s\n", // NOLINT(*-vararg): a fixed line
                static_cast<long long>(wall_now().time_since_epoch().count()), request.c_str(),
                names.incarnation().c_str(), soup_server_message_get_remote_host(message));
    std::fflush(stdout);
}

} // namespace

/** A request that is queued or running. */
struct upstream_server::work {
    upstream_server* owner = nullptr;
    SoupServerMessage* message = nullptr;
    std::string request;
    std::string query;
    std::string key; ///< idempotency key of an order; empty for other requests
    std::uint64_t version = 0;
    time_point deadline{};
    bool finished = false; ///< whether the client has disconnected or been answered
    bool running = false;  ///< whether it occupies a slot
    std::optional<timer_id> end;
};

upstream_server::upstream_server(loop_clock& clock, std::function<std::uint64_t()>& random,
                                 upstream_counts& counts, std::string address, std::string service,
                                 std::uint32_t shard, upstream_behaviour behaviour)
    : clock_{clock}, random_{random}, counts_{counts}, address_{std::move(address)},
      service_{std::move(service)}, shard_{shard}, behaviour_{std::move(behaviour)} {}

upstream_server::~upstream_server() {
    stop();
}

bool upstream_server::start() {
    incarnation_ = std::to_string(random_());
    started_ = clock_.timers().now();
    server_.reset(SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, nullptr)));
    soup_server_add_handler(server_.get(), nullptr, &upstream_server::on_request, this, nullptr);
    // libsoup keeps connections alive for further requests only while the server has a listener of its own.
    soup_server_listen_local(server_.get(), 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
    listener_.reset(g_socket_service_new());
    const auto where = to_socket_address(address_);
    if (g_socket_listener_add_address(G_SOCKET_LISTENER(listener_.get()), where.get(), G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, nullptr) == FALSE)
        return false;
    g_signal_connect(listener_.get(), "incoming", G_CALLBACK(&upstream_server::on_incoming), this);
    g_socket_service_start(listener_.get());
    close_ended_connections();
    return true;
}

void upstream_server::stop() {
    if (!listener_)
        return;
    clock_.timers().cancel(sweep_timer_);
    g_socket_service_stop(listener_.get());
    g_socket_listener_close(G_SOCKET_LISTENER(listener_.get()));
    listener_.reset();
    for (const auto& it : waiting_)
        it->owner = nullptr;
    waiting_.clear();
    for (GObject* it : std::exchange(open_, {})) {
        g_object_weak_unref(it, &upstream_server::on_connection_gone, this);
        g_io_stream_close(G_IO_STREAM(it), nullptr, nullptr);
    }
    soup_server_disconnect(server_.get());
    server_.reset();
    running_ = 0;
}

void upstream_server::silence_open_connections() {
    ++epoch_;
}

void upstream_server::close_ended_connections() {
    std::vector<GObject*> ended;
    for (GObject* it : open_) {
        const int fd = g_socket_get_fd(g_socket_connection_get_socket(G_SOCKET_CONNECTION(it)));
        char byte = 0;
        const ssize_t n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN))
            ended.push_back(it);
    }
    for (GObject* it : ended) {
        open_.erase(it);
        g_object_weak_unref(it, &upstream_server::on_connection_gone, this);
        g_io_stream_close(G_IO_STREAM(it), nullptr, nullptr);
    }
    sweep_timer_ = clock_.timers().schedule_after(sweep_period, [this] { close_ended_connections(); });
}

gboolean upstream_server::on_incoming(GSocketService*, GSocketConnection* connection, GObject*,
                                      gpointer self) {
    auto* it = static_cast<upstream_server*>(self);
    it->clock_.sync();
    if (it->open_.size() >= it->behaviour_.connections) {
        ++it->counts_.connections_refused;
        g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
        return TRUE;
    }
    g_object_weak_ref(G_OBJECT(connection), &upstream_server::on_connection_gone, self);
    it->open_.insert(G_OBJECT(connection));
    it->counts_.most_connections =
        std::max(it->counts_.most_connections, static_cast<std::uint32_t>(it->open_.size()));
    if (it->behaviour_.connect_ms == 0) {
        it->accept(connection);
        return TRUE;
    }
    const auto delay = std::chrono::milliseconds{it->behaviour_.connect_ms};
    g_object_ref(connection);
    it->clock_.timers().schedule_after(delay, [it, connection] {
        if (it->open_.contains(G_OBJECT(connection)))
            it->accept(connection);
        g_object_unref(connection);
    });
    return TRUE;
}

void upstream_server::on_connection_gone(gpointer self, GObject* where) {
    static_cast<upstream_server*>(self)->open_.erase(where);
}

void upstream_server::accept(GSocketConnection* connection) {
    const gobject_ptr<GSocketAddress> local{g_socket_connection_get_local_address(connection, nullptr)};
    const gobject_ptr<GSocketAddress> remote{g_socket_connection_get_remote_address(connection, nullptr)};
    if (!local || !remote)
        return;
    g_socket_set_option(g_socket_connection_get_socket(connection), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    epochs_[g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(remote.get()))] = epoch_;
    soup_server_accept_iostream(server_.get(), G_IO_STREAM(connection), local.get(), remote.get(), nullptr);
}

bool upstream_server::is_silent(SoupServerMessage* message) const {
    const auto it = epochs_.find(remote_port(message));
    return behaviour_.frozen || (it != epochs_.end() && it->second < epoch_);
}

const char* upstream_server::refusal(SoupServerMessage* message) const {
    if (behaviour_.draining)
        return "draining";
    if (!behaviour_.versions.contains(number(header(message, index_version_header))))
        return "version_absent";
    if (behaviour_.shedding || (running_ >= behaviour_.slots && waiting_.size() >= behaviour_.queue))
        return "shed";
    return nullptr;
}

void upstream_server::on_request(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query,
                                 gpointer self) {
    auto* it = static_cast<upstream_server*>(self);
    it->clock_.sync();
    it->handle_request(message, path, query);
}

void upstream_server::handle_request(SoupServerMessage* message, const std::string& path, GHashTable* query) {
    if (names_) {
        handle_forwarded(message);
        return;
    }
    const std::string prefix = "/shards/" + service_ + "/" + std::to_string(shard_) + "/";
    if (!path.starts_with(prefix)) {
        soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND, nullptr);
        return;
    }
    if (is_silent(message)) {
        soup_server_message_pause(message);
        return;
    }
    if (const char* reason = refusal(message)) {
        if (std::string_view{reason} == "shed")
            ++counts_.shed;
        refuse(message, reason);
        return;
    }
    auto it = std::make_shared<work>();
    it->owner = this;
    it->message = message;
    it->request = header(message, request_id_header);
    it->key = header(message, idempotency_key_header);
    it->query = query_text(query, path == prefix + "search" ? "q" : "number");
    it->version = number(header(message, index_version_header));
    it->deadline =
        clock_.timers().now() + std::chrono::milliseconds{number(header(message, deadline_ms_header))};
    enqueue(std::move(it));
}

void upstream_server::enqueue(std::shared_ptr<work> it) {
    soup_server_message_pause(it->message);
    auto* share = new std::shared_ptr<work>{it};
    g_signal_connect(it->message, "finished", G_CALLBACK(&upstream_server::on_finished), share);
    waiting_.push_back(std::move(it));
    start_waiting();
}

void upstream_server::handle_forwarded(SoupServerMessage* message) {
    if (is_silent(message)) {
        soup_server_message_pause(message);
        return;
    }
    if (behaviour_.states_leaving)
        soup_message_headers_replace(soup_server_message_get_response_headers(message),
                                     wire_names::server_leaving, "1");
    const bool is_intended = header(message, wire_names::expected_server) == names_->server;
    const bool is_full = running_ >= behaviour_.slots && waiting_.size() >= behaviour_.queue;
    if (!is_intended || behaviour_.shedding || is_full) {
        counts_.shed += is_intended ? 1 : 0;
        refuse_forwarded(message,
                         is_intended ? SOUP_STATUS_SERVICE_UNAVAILABLE : SOUP_STATUS_MISDIRECTED_REQUEST,
                         behaviour_.pause_ms / milliseconds_per_second);
        return;
    }
    auto it = std::make_shared<work>();
    it->owner = this;
    it->message = message;
    it->request = header(message, wire_names::request_id);
    it->deadline =
        clock_.timers().now() + std::chrono::milliseconds{number(header(message, wire_names::deadline_ms))};
    enqueue(std::move(it));
}

void upstream_server::complete_forwarded(const work& it) {
    std::string body = part_of(it.request, names_->service);
    // Records of zeros are the smallest ones, so they change no merged answer.
    body.resize(std::max<std::size_t>(body.size(), behaviour_.body_bytes), '\0');
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(it.message);
    soup_message_headers_replace(headers, wire_names::request_id,
                                 behaviour_.wrong_request ? "another" : it.request.c_str());
    if (soup_message_headers_get_one(headers, wire_names::server_leaving) != nullptr)
        print_leaving(*names_, it.message, it.request);
    soup_message_headers_replace(headers, wire_names::signature,
                                 signature_of(it.request, names_->service, names_->server).c_str());
    soup_server_message_set_status(it.message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(it.message, "application/octet-stream", SOUP_MEMORY_COPY, body.data(),
                                     body.size());
    soup_server_message_unpause(it.message);
}

void upstream_server::complete_broken(const work& it) {
    const std::string fields = std::string{wire_names::request_id} + ": " + it.request + "\r\n" +
                               wire_names::signature + ": " +
                               signature_of(it.request, names_->service, names_->server) + "\r\n";
    const std::string body = part_of(it.request, names_->service);
    send_broken_reply(gobject_ptr<GIOStream>{soup_server_message_steal_connection(it.message)},
                      bytes_of(behaviour_.broken, fields, body));
}

void upstream_server::start_waiting() {
    while (running_ < behaviour_.slots && !waiting_.empty()) {
        const std::shared_ptr<work> it = waiting_.front();
        waiting_.pop_front();
        if (clock_.timers().now() >= it->deadline) {
            refuse(it->message, "shed");
            soup_server_message_unpause(it->message);
            continue;
        }
        begin(it);
    }
}

duration upstream_server::random_service_time() {
    if (random_() % per_mille < behaviour_.straggle_per_mille)
        return std::chrono::milliseconds{behaviour_.straggle_ms};
    // Uniform between 0.5 and 1.5 times the mean.
    const std::uint64_t mean = std::max<std::uint64_t>(1, behaviour_.service_us);
    duration it{static_cast<duration::rep>(mean / 2 + random_() % mean)};
    if (clock_.timers().now() < started_ + std::chrono::milliseconds{behaviour_.cold_ms})
        it *= cold_factor;
    return it;
}

void upstream_server::begin(const std::shared_ptr<work>& it) {
    ++running_;
    ++counts_.started;
    it->running = true;
    if (!it->key.empty())
        ++counts_.orders[it->key];
    if (names_)
        print_run(*names_, it->message, it->request);
    it->end = clock_.timers().schedule_after(random_service_time(), [this, it] { complete(*it); });
}

void upstream_server::complete(work& it) {
    it.end.reset();
    it.running = false;
    --running_;
    ++counts_.finished;
    if (behaviour_.drop_after_run || behaviour_.cut_head) {
        const gobject_ptr<GIOStream> stream{soup_server_message_steal_connection(it.message)};
        if (behaviour_.cut_head)
            g_output_stream_write_all(g_io_stream_get_output_stream(stream.get()), half_head.data(),
                                      half_head.size(), nullptr, nullptr, nullptr);
        g_io_stream_close(stream.get(), nullptr, nullptr);
    } else if (names_ && behaviour_.broken != broken_reply::none) {
        complete_broken(it);
    } else if (names_) {
        complete_forwarded(it);
    } else {
        const std::string body = reply_body(it);
        soup_server_message_set_status(it.message, SOUP_STATUS_OK, nullptr);
        soup_server_message_set_response(it.message, "application/json", SOUP_MEMORY_COPY, body.data(),
                                         body.size());
        soup_server_message_unpause(it.message);
    }
    start_waiting();
}

std::string upstream_server::reply_body(const work& it) const {
    const std::uint64_t version = behaviour_.wrong_version ? it.version + 1 : it.version;
    json_writer out;
    out.begin_object();
    out.member("request_id", behaviour_.wrong_request ? "another" : it.request).member("shard", shard_);
    out.member("index_version", version).member("in_flight", running_);
    out.member("draining", behaviour_.draining).member("incarnation", incarnation_);
    out.name("rows").begin_array();
    for (std::uint32_t n = 0; n < behaviour_.rows; ++n) {
        const std::string key = service_ + "-" + std::to_string(shard_) + "-" + std::to_string(n);
        const auto score = static_cast<std::int64_t>(std::hash<std::string>{}(it.query + key) % 100000);
        out.begin_object().member("score", score).member("key", key);
        out.member("text", it.query + " v" + std::to_string(version)).end_object();
    }
    std::string body = out.end_array().end_object().take();
    if (behaviour_.truncate)
        body.resize(body.size() / 2);
    return body;
}

void upstream_server::on_finished(SoupServerMessage*, gpointer data) {
    const std::unique_ptr<std::shared_ptr<work>> share{static_cast<std::shared_ptr<work>*>(data)};
    work& it = **share;
    upstream_server* owner = it.owner;
    it.finished = true;
    if (owner == nullptr)
        return;
    if (it.running) {
        ++owner->counts_.cancelled_running;
        owner->clock_.timers().cancel(*it.end);
        it.running = false;
        if (owner->running_ > 0)
            --owner->running_;
        owner->start_waiting();
        return;
    }
    const auto waiting = std::find(owner->waiting_.begin(), owner->waiting_.end(), *share);
    if (waiting != owner->waiting_.end()) {
        ++owner->counts_.cancelled_waiting;
        owner->waiting_.erase(waiting);
    }
}

} // namespace pollengrade
