/** @file upstream_client.cpp HTTP exchanges by libsoup. */
#include "http/upstream_client.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "http/codec.h"
#include "http/http_func.h"

namespace pollengrade {

namespace {

constexpr guint idle_connection_seconds = 60; ///< a connection without use is closed after this

/** What a message's signal handlers need; freed with the message. */
struct message_watch {
    GCancellable* cancel = nullptr; ///< ends the exchange
    bool started = false;           ///< whether the message was handed to a connection
    bool oversized = false;         ///< whether the reply is over the limit
    bool is_order = false;          ///< whether a second sending must be prevented
    bool finished = false;          ///< whether nothing more is to be cancelled
};

/** Runs before the message is written to a connection, each time. */
void on_starting(SoupMessage*, gpointer data) {
    auto* watch = static_cast<message_watch*>(data);
    // The library starts a message again after a redirect or a lost connection: never for an order.
    if (watch->started && watch->is_order)
        g_cancellable_cancel(watch->cancel);
    watch->started = true;
}

void on_got_headers(SoupMessage* message, gpointer data) {
    auto* watch = static_cast<message_watch*>(data);
    SoupMessageHeaders* headers = soup_message_get_response_headers(message);
    const bool sized = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
    const auto size = soup_message_headers_get_content_length(headers);
    if (!sized || size > static_cast<goffset>(max_reply_bytes)) {
        watch->oversized = true;
        g_cancellable_cancel(watch->cancel);
    }
}

std::string path_of(const attempt_request& request) {
    const shard_query& query = *request.query;
    std::string path = "/shards/" + request.service.value() + "/" + std::to_string(request.shard.value());
    switch (query.kind) {
    case query_kind::search:
        return path + "/search?limit=" + std::to_string(query.max_rows) + "&q=" + escape_uri(query.text);
    case query_kind::lookup:
        return path + "/lookup?number=" + std::to_string(query.number);
    case query_kind::order:
        return path + "/orders?number=" + std::to_string(query.number);
    }
    return path;
}

attempt_failure failure_of_status(SoupMessage* message) {
    SoupMessageHeaders* headers = soup_message_get_response_headers(message);
    const char* not_run = soup_message_headers_get_one(headers, not_run_header);
    attempt_failure it{attempt_error::server_error, {}};
    if (not_run == nullptr)
        return it;
    const std::string_view reason{not_run};
    if (reason == "shed")
        it.code = attempt_error::shed;
    else if (reason == "draining")
        it.code = attempt_error::draining;
    else if (reason == "version_absent")
        it.code = attempt_error::version_absent;
    const auto wait = parse_natural(soup_message_headers_get_one(headers, retry_after_ms_header));
    it.retry_after = std::chrono::milliseconds{std::min<std::uint64_t>(wait.value_or(0), 60000)};
    return it;
}

} // namespace

/** One exchange in flight. */
struct upstream_client::exchange {
    upstream_client* owner = nullptr; ///< the client
    attempt_id id;                    ///< the attempt
    gobject_ptr<SoupMessage> message; ///< the request and its reply
    gobject_ptr<GCancellable> cancel; ///< ends the exchange
    message_watch* watch = nullptr;   ///< owned by the message
    bool aborted = false;             ///< whether the result is of no use any more
};

upstream_client::upstream_client(loop_clock& clock,
                                 std::function<std::uint32_t(const upstream_address&)> connections,
                                 completion done)
    : clock_{clock}, connections_{std::move(connections)}, done_{std::move(done)} {}

upstream_client::~upstream_client() {
    for (auto& [id, it] : exchanges_) {
        it->owner = nullptr;
        g_cancellable_cancel(it->cancel.get());
        static_cast<void>(it.release()); // on_reply() frees it.
    }
}

SoupSession* upstream_client::session_of(const upstream_address& address) {
    pool& it = pools_[address];
    const std::uint32_t limit = std::max(1U, connections_(address));
    if (it.limit != limit) {
        // The former session ends with its last exchange, and closes what is idle now.
        it.session = make_session(limit, idle_connection_seconds);
        it.limit = limit;
    }
    return it.session.get();
}

void upstream_client::transmit(attempt_id id, const attempt_request& request) {
    const bool is_order = request.query->kind == query_kind::order;
    const std::string uri = "http://" + request.to.value() + path_of(request);
    auto it = std::make_unique<exchange>();
    it->owner = this;
    it->id = id;
    it->message.reset(soup_message_new(is_order ? "POST" : "GET", uri.c_str()));
    it->cancel.reset(g_cancellable_new());
    SoupMessage* message = it->message.get();

    SoupMessageHeaders* headers = soup_message_get_request_headers(message);
    const auto left = std::max<std::int64_t>(1, to_milliseconds(request.deadline - clock_.timers().now()));
    soup_message_headers_append(headers, request_id_header, request.request.value().c_str());
    soup_message_headers_append(headers, index_version_header,
                                std::to_string(request.version.value()).c_str());
    soup_message_headers_append(headers, deadline_ms_header, std::to_string(left).c_str());
    auto flags = static_cast<unsigned>(SOUP_MESSAGE_NO_REDIRECT);
    if (is_order) {
        const std::string& body = request.query->text;
        soup_message_headers_append(headers, idempotency_key_header, request.query->idempotency_key.c_str());
        const gbytes_ptr bytes{g_bytes_new(body.data(), body.size())};
        soup_message_set_request_body_from_bytes(message, "application/json", bytes.get());
        flags |= static_cast<unsigned>(SOUP_MESSAGE_NEW_CONNECTION);
    }
    soup_message_set_flags(message, static_cast<SoupMessageFlags>(flags));

    it->watch = new message_watch{it->cancel.get()};
    it->watch->is_order = is_order;
    g_object_set_data_full(G_OBJECT(message), "watch", it->watch,
                           [](gpointer watch) { delete static_cast<message_watch*>(watch); });
    g_signal_connect(message, "starting", G_CALLBACK(on_starting), it->watch);
    g_signal_connect(message, "got-headers", G_CALLBACK(on_got_headers), it->watch);

    exchange* raw = it.get();
    exchanges_.emplace(id, std::move(it));
    soup_session_send_and_read_async(session_of(request.to), message, G_PRIORITY_DEFAULT, raw->cancel.get(),
                                     &upstream_client::on_reply, raw);
}

void upstream_client::abort(attempt_id id) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end())
        return;
    it->second->aborted = true;
    g_cancellable_cancel(it->second->cancel.get());
}

void upstream_client::on_reply(GObject* session, GAsyncResult* result, gpointer data) {
    auto* it = static_cast<exchange*>(data);
    GError* error = nullptr;
    const gbytes_ptr body{soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error)};
    const gerror_ptr ec{error};
    if (it->owner == nullptr) {
        delete it;
        return;
    }
    it->owner->finish(*it, body.get(), ec.get());
}

void upstream_client::finish(exchange& it, GBytes* body, const GError* ec) {
    clock_.sync();
    const auto node = exchanges_.extract(it.id);
    if (it.aborted)
        return;
    if (ec != nullptr) {
        attempt_failure failure{attempt_error::connection_lost, {}};
        if (it.watch->oversized)
            failure.code = attempt_error::oversized;
        else if (!it.watch->started)
            failure.code = attempt_error::not_sent;
        done_(it.id, tl::unexpected{failure});
        return;
    }
    if (soup_message_get_status(it.message.get()) != SOUP_STATUS_OK) {
        done_(it.id, tl::unexpected{failure_of_status(it.message.get())});
        return;
    }
    auto reply = decode_shard_reply(view_of(body));
    if (!reply) {
        done_(it.id, tl::unexpected{attempt_failure{attempt_error::malformed, {}}});
        return;
    }
    done_(it.id, std::move(*reply));
}

} // namespace pollengrade
