/** @file caller_server.cpp Parses callers' requests and sends their answers. */
#include "http/caller_server.h"

#include <array>
#include <charconv>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/queries/idempotency_key.h"
#include "http/codec.h"
#include "http/header_names.h"
#include "net/socket_func.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

constexpr std::uint64_t max_deadline_ms = 60000;   ///< longer deadlines are rejected as bad requests
constexpr std::uint64_t max_requested_rows = 1000; ///< larger limits are rejected as bad requests
constexpr std::string_view path_prefix = "/v1/";   ///< prefix of the path of all requests to services
constexpr std::int64_t milliseconds_per_second = 1000;
constexpr std::size_t max_header_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_connections = 10000; ///< maximum number of callers' simultaneous connections
constexpr duration header_timeout = std::chrono::seconds{10};
constexpr duration idle_timeout = std::chrono::seconds{60};

constexpr unsigned ok_status = 200;
constexpr unsigned bad_request_status = 400;
constexpr unsigned forbidden_status = 403;
constexpr unsigned not_found_status = 404;
constexpr unsigned conflict_status = 409;
constexpr unsigned unavailable_status = 503;
constexpr unsigned unknown_outcome_status = 504;

unsigned status_of(const answer& it) {
    switch (it.result) {
    case outcome::answered:
    case outcome::partial:
        return ok_status;
    case outcome::refused:
        return unavailable_status;
    case outcome::unknown:
        return unknown_outcome_status;
    case outcome::invalid:
        break;
    }
    switch (it.reason) {
    case refusal_reason::unknown_service:
        return not_found_status;
    case refusal_reason::orders_forbidden:
        return forbidden_status;
    case refusal_reason::key_reused:
        return conflict_status;
    default:
        return bad_request_status;
    }
}

reply_message json_reply(unsigned status, std::string body) {
    reply_message message;
    message.status = status;
    message.fields.push_back({"Content-Type", "application/json"});
    message.body = std::move(body);
    return message;
}

reply_message reply_of(const answer& it) {
    reply_message message = json_reply(status_of(it), encode_answer(it) + "\n");
    if (it.retry_after.count() > 0) {
        const std::int64_t seconds =
            (to_milliseconds(it.retry_after) + milliseconds_per_second - 1) / milliseconds_per_second;
        message.fields.push_back({"Retry-After", std::to_string(seconds)});
    }
    return message;
}

std::optional<std::string> query_value(const decoded_target& target, const std::string& name) {
    const auto it = target.query.find(name);
    return it == target.query.end() ? std::nullopt : std::optional{it->second};
}

/** The parts of "/v1/SERVICE/VERB". */
struct request_path {
    std::string service; ///< as written in the path
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

} // namespace

caller_server::caller_server(socket_poller& poller, timer_queue& timers, caller_memory& memory,
                             metrics& counts, std::function<std::uint64_t()> random, caller_hooks hooks)
    : random_{std::move(random)}, hooks_{std::move(hooks)},
      listener_{poller,
                timers,
                memory,
                counts,
                connections_within_descriptors(max_connections),
                {[this](exchange_id id, const request_message& message) { on_request(id, message); },
                 [this](exchange_id id) {
                     if (const auto node = runs_.extract(id); !node.empty())
                         hooks_.abandon(node.mapped());
                 },
                 [] {
                     return caller_limits{{max_header_bytes, max_query_bytes}, header_timeout, idle_timeout};
                 }}} {}

tl::expected<void, listen_error> caller_server::listen(const node_address& address) {
    return listener_.listen(address.value());
}

void caller_server::on_request(exchange_id id, const request_message& message) {
    const auto target = decode_target(message.target);
    if (target && target->path == "/healthz") {
        listener_.reply(id, json_reply(ok_status, "{\"healthy\":true}\n"));
        return;
    }
    if (target && target->path == "/readyz") {
        const bool ready = hooks_.is_ready();
        listener_.reply(id, json_reply(ready ? ok_status : unavailable_status,
                                       ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n"));
        return;
    }
    auto request = target ? read(message, *target) : tl::unexpected{refusal_reason::bad_request};
    if (request) {
        run(id, std::move(*request));
        return;
    }
    answer it;
    it.result = outcome::invalid;
    it.reason = request.error();
    listener_.reply(id, reply_of(it));
}

request_id caller_server::make_request_id() {
    constexpr int base = 16;
    std::array<char, 16> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), random_(), base);
    return request_id{"r-" + std::string{buf.data(), end}};
}

tl::expected<caller_request, refusal_reason> caller_server::read(const request_message& message,
                                                                 const decoded_target& target) {
    const auto parts = split_path(target.path);
    if (!parts)
        return tl::unexpected{refusal_reason::bad_request};
    caller_request request;
    request.service = service_name{parts->service};
    const std::string_view id = value_of(message.fields, request_id_header);
    if (id.size() > max_request_id_bytes)
        return tl::unexpected{refusal_reason::bad_request};
    request.id = id.empty() ? make_request_id() : request_id{std::string{id}};

    if (const std::string_view text = value_of(message.fields, deadline_ms_header); !text.empty()) {
        const auto n = parse_natural(text);
        if (!n || *n == 0 || *n > max_deadline_ms)
            return tl::unexpected{refusal_reason::bad_request};
        request.deadline = std::chrono::milliseconds{*n};
    }

    shard_query query;
    if (parts->verb == "search" && message.method == "GET") {
        const auto text = query_value(target, "q");
        const auto rows = parse_natural(query_value(target, "limit").value_or("0"));
        if (!text || text->size() > max_query_bytes || !rows || *rows > max_requested_rows)
            return tl::unexpected{refusal_reason::bad_request};
        query.kind = query_kind::search;
        query.text = *text;
        query.max_rows = static_cast<std::uint32_t>(*rows);
    } else if ((parts->verb == "lookup" && message.method == "GET") ||
               (parts->verb == "orders" && message.method == "POST")) {
        const auto number = parse_natural(query_value(target, "number").value_or(""));
        if (!number)
            return tl::unexpected{refusal_reason::bad_request};
        query.kind = parts->verb == "lookup" ? query_kind::lookup : query_kind::order;
        query.number = *number;
    } else {
        return tl::unexpected{refusal_reason::bad_request};
    }
    if (query.kind == query_kind::order) {
        const std::string key{value_of(message.fields, idempotency_key_header)};
        if (!time_of_key(key))
            return tl::unexpected{refusal_reason::key_malformed};
        query.idempotency_key = key;
        query.text = message.body;
        if (!json_document::parse(query.text))
            return tl::unexpected{refusal_reason::bad_request};
    }
    request.query = std::make_shared<const shard_query>(std::move(query));
    return request;
}

void caller_server::run(exchange_id id, caller_request request) {
    const auto answered = std::make_shared<bool>(false);
    const run_id run = hooks_.submit(std::move(request), [this, id, answered](const answer& reply) {
        *answered = true;
        runs_.erase(id);
        listener_.reply(id, reply_of(reply));
    });
    if (!*answered)
        runs_[id] = run;
}

} // namespace pollengrade
