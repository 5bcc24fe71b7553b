/** @file caller_server.cpp The front door by libsoup. */
#include "http/caller_server.h"

#include <array>
#include <charconv>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "core/queries/idempotency_key.h"
#include "http/codec.h"
#include "http/http_func.h"
#include "http/json_view.h"

namespace pollengrade {

namespace {

constexpr std::uint64_t max_deadline_ms = 60000; ///< a longer deadline is a bad request
constexpr std::uint64_t max_rows_asked = 1000;   ///< a larger limit is a bad request
constexpr std::string_view path_prefix = "/v1/"; ///< of every request to a service
constexpr unsigned too_large_status = 413;       ///< a body over the limit
constexpr std::int64_t milliseconds_per_second = 1000;

unsigned status_of(const answer& it) {
    switch (it.result) {
    case outcome::answered:
    case outcome::partial:
        return SOUP_STATUS_OK;
    case outcome::refused:
        return SOUP_STATUS_SERVICE_UNAVAILABLE;
    case outcome::unknown:
        return SOUP_STATUS_GATEWAY_TIMEOUT;
    case outcome::invalid:
        break;
    }
    switch (it.reason) {
    case refusal_reason::unknown_service:
        return SOUP_STATUS_NOT_FOUND;
    case refusal_reason::orders_forbidden:
        return SOUP_STATUS_FORBIDDEN;
    case refusal_reason::key_reused:
        return SOUP_STATUS_CONFLICT;
    default:
        return SOUP_STATUS_BAD_REQUEST;
    }
}

void respond(SoupServerMessage* message, unsigned status, const std::string& body) {
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
}

void respond(SoupServerMessage* message, const answer& it) {
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    if (it.retry_after.count() > 0) {
        const std::int64_t seconds =
            (to_milliseconds(it.retry_after) + milliseconds_per_second - 1) / milliseconds_per_second;
        soup_message_headers_replace(headers, "Retry-After", std::to_string(seconds).c_str());
    }
    respond(message, status_of(it), encode_answer(it) + "\n");
}

const char* query_value(GHashTable* query, const char* name) {
    return query == nullptr ? nullptr : static_cast<const char*>(g_hash_table_lookup(query, name));
}

/** The parts of "/v1/SERVICE/VERB". */
struct request_path {
    std::string service; ///< as it stands in the path
    std::string verb;    ///< "search", "lookup" or "orders"
};

std::optional<request_path> split_path(std::string_view path) {
    constexpr std::size_t max_name_bytes = 63;
    if (!path.starts_with(path_prefix))
        return std::nullopt;
    path.remove_prefix(path_prefix.size());
    const auto slash = path.find('/');
    if (slash == std::string_view::npos || slash == 0 || slash > max_name_bytes)
        return std::nullopt;
    return request_path{std::string{path.substr(0, slash)}, std::string{path.substr(slash + 1)}};
}

std::string_view body_of(SoupServerMessage* message) {
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    return {body->data == nullptr ? "" : body->data, static_cast<std::size_t>(body->length)};
}

} // namespace

/** One request between its arrival and the last byte of its answer. */
struct caller_server::exchange {
    caller_server* owner = nullptr;       ///< the server
    SoupServerMessage* message = nullptr; ///< the exchange; valid until "finished"
    std::optional<run_id> run;            ///< the request, once it runs
    bool answered = false;                ///< whether the answer is set
    bool finished = false;                ///< whether the exchange is over
};

caller_server::caller_server(loop_clock& clock, std::function<std::uint64_t()> random, caller_hooks hooks)
    : clock_{clock}, random_{std::move(random)}, hooks_{std::move(hooks)}, server_{SOUP_SERVER(g_object_new(
                                                                               SOUP_TYPE_SERVER, nullptr))} {
    soup_server_add_early_handler(server_.get(), nullptr, &caller_server::on_early, this, nullptr);
    soup_server_add_handler(server_.get(), nullptr, &caller_server::on_request, this, nullptr);
}

caller_server::~caller_server() {
    soup_server_disconnect(server_.get());
}

tl::expected<void, listen_error> caller_server::listen(const node_address& address) {
    const auto where = to_socket_address(address.value());
    GError* error = nullptr;
    soup_server_listen(server_.get(), where.get(), static_cast<SoupServerListenOptions>(0), &error);
    const gerror_ptr ec{error};
    if (ec)
        return tl::unexpected{listen_error::address_in_use_or_denied};
    return {};
}

void caller_server::on_early(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer) {
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
    const bool unsized = encoding == SOUP_ENCODING_CHUNKED || encoding == SOUP_ENCODING_EOF;
    const auto size = soup_message_headers_get_content_length(headers);
    if (!unsized && size <= static_cast<goffset>(max_query_bytes))
        return;
    // Answered before the body is read; the connection cannot be used again.
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
    answer it;
    it.result = outcome::invalid;
    it.reason = refusal_reason::bad_request;
    respond(message, unsized ? static_cast<unsigned>(SOUP_STATUS_LENGTH_REQUIRED) : too_large_status,
            encode_answer(it) + "\n");
}

void caller_server::on_request(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query,
                               gpointer self) {
    auto* owner = static_cast<caller_server*>(self);
    owner->clock_.sync();
    if (soup_server_message_get_status(message) != 0)
        return; // Answered by on_early().
    owner->handle(message, path, query);
}

void caller_server::handle(SoupServerMessage* message, const std::string& path, GHashTable* query) {
    if (path == "/healthz") {
        respond(message, SOUP_STATUS_OK, "{\"healthy\":true}\n");
        return;
    }
    if (path == "/readyz") {
        const bool ready = hooks_.is_ready();
        respond(message, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
                ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n");
        return;
    }
    auto request = read(message, path, query);
    if (request) {
        run(message, std::move(*request));
        return;
    }
    answer it;
    it.result = outcome::invalid;
    it.reason = request.error();
    respond(message, it);
}

request_id caller_server::make_request_id() {
    constexpr int base = 16;
    std::array<char, 16> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), random_(), base);
    return request_id{"r-" + std::string{buf.data(), end}};
}

tl::expected<caller_request, refusal_reason> caller_server::read(SoupServerMessage* message,
                                                                 const std::string& path, GHashTable* query) {
    const auto parts = split_path(path);
    if (!parts)
        return tl::unexpected{refusal_reason::bad_request};
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    const std::string_view method = soup_server_message_get_method(message);

    caller_request request;
    request.service = service_name{parts->service};
    const char* id = soup_message_headers_get_one(headers, request_id_header);
    if (id != nullptr && std::string_view{id}.size() > max_request_id_bytes)
        return tl::unexpected{refusal_reason::bad_request};
    request.id = id == nullptr ? make_request_id() : request_id{id};

    if (const char* text = soup_message_headers_get_one(headers, deadline_ms_header)) {
        const auto n = parse_natural(text);
        if (!n || *n == 0 || *n > max_deadline_ms)
            return tl::unexpected{refusal_reason::bad_request};
        request.deadline = std::chrono::milliseconds{*n};
    }

    shard_query wanted;
    if (parts->verb == "search" && method == "GET") {
        const char* text = query_value(query, "q");
        const char* limit = query_value(query, "limit");
        const auto rows = limit == nullptr ? std::uint64_t{0} : parse_natural(limit);
        if (text == nullptr || std::string_view{text}.size() > max_query_bytes || !rows ||
            *rows > max_rows_asked)
            return tl::unexpected{refusal_reason::bad_request};
        wanted.kind = query_kind::search;
        wanted.text = text;
        wanted.max_rows = static_cast<std::uint32_t>(*rows);
    } else if ((parts->verb == "lookup" && method == "GET") ||
               (parts->verb == "orders" && method == "POST")) {
        const auto number = parse_natural(query_value(query, "number"));
        if (!number)
            return tl::unexpected{refusal_reason::bad_request};
        wanted.kind = parts->verb == "lookup" ? query_kind::lookup : query_kind::order;
        wanted.number = *number;
    } else {
        return tl::unexpected{refusal_reason::bad_request};
    }
    if (wanted.kind == query_kind::order) {
        const char* key = soup_message_headers_get_one(headers, idempotency_key_header);
        if (key == nullptr || !time_of_key(key))
            return tl::unexpected{refusal_reason::key_malformed};
        wanted.idempotency_key = key;
        wanted.text = std::string{body_of(message)};
        if (!json_document::parse(wanted.text))
            return tl::unexpected{refusal_reason::bad_request};
    }
    request.query = std::make_shared<const shard_query>(std::move(wanted));
    return request;
}

void caller_server::run(SoupServerMessage* message, caller_request request) {
    const auto it = std::make_shared<exchange>();
    it->owner = this;
    it->message = message;
    ++open_;
    // The signal owns one share of the exchange, the answer's hook another.
    auto* share = new std::shared_ptr<exchange>{it};
    g_signal_connect(message, "finished", G_CALLBACK(&caller_server::on_finished), share);
    soup_server_message_pause(message);
    it->run = hooks_.submit(std::move(request), [it](const answer& reply) {
        it->answered = true;
        if (it->finished)
            return;
        respond(it->message, reply);
        soup_server_message_unpause(it->message);
    });
}

void caller_server::on_finished(SoupServerMessage*, gpointer data) {
    const std::unique_ptr<std::shared_ptr<exchange>> share{static_cast<std::shared_ptr<exchange>*>(data)};
    exchange& it = **share;
    caller_server& owner = *it.owner;
    it.finished = true;
    if (!it.answered && it.run)
        owner.hooks_.abandon(*it.run);
    --owner.open_;
    if (owner.open_ == 0 && owner.idle_)
        owner.idle_();
}

} // namespace pollengrade
