/** @file index_codec.cpp Encodes requests to servers that hold shards and decodes their replies. */
#include "http/index_codec.h"

#include <algorithm>
#include <string>
#include <string_view>

#include "http/codec.h"
#include "http/header_names.h"
#include "http/uri_func.h"
#include "net/message_writer.h"

namespace pollengrade {

namespace {

constexpr unsigned ok_status = 200;
constexpr std::uint64_t max_retry_after_ms = 60000; ///< longer requested delays are reduced to this

std::string path_of(const index_request& request) {
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

attempt_failure failure_of(const reply_message& reply) {
    const std::string_view reason = value_of(reply.fields, not_run_header);
    attempt_failure it{attempt_error::server_error, {}};
    if (reason == "shed")
        it.code = attempt_error::shed;
    else if (reason == "draining")
        it.code = attempt_error::draining;
    else if (reason == "version_absent")
        it.code = attempt_error::version_absent;
    const auto wait = parse_natural(value_of(reply.fields, retry_after_ms_header)).value_or(0);
    it.retry_after = std::chrono::milliseconds{std::min(wait, max_retry_after_ms)};
    return it;
}

} // namespace

outgoing_request encode_index_request(const index_request& request, const request_id& id, duration left) {
    const bool is_order = request.query->kind == query_kind::order;
    outgoing_request it;
    if (is_order)
        it.body = std::make_shared<const std::string>(request.query->text);
    request_message message{is_order ? "POST" : "GET", path_of(request), {}, {}, true};
    message.fields.push_back({"Host", request.service.value()});
    message.fields.push_back({request_id_header, id.value()});
    message.fields.push_back({index_version_header, std::to_string(request.version.value())});
    message.fields.push_back({deadline_ms_header, std::to_string(to_milliseconds(left))});
    if (is_order) {
        message.fields.push_back({idempotency_key_header, request.query->idempotency_key});
        message.fields.push_back({"Content-Type", "application/json"});
    }
    append_request_header(it.header, message, it.body ? it.body->size() : 0);
    it.header += "\r\n";
    return it;
}

attempt_result decode_index_reply(const reply_message& reply) {
    if (reply.status != ok_status)
        return tl::unexpected{failure_of(reply)};
    if (reply.body.size() > max_reply_bytes)
        return tl::unexpected{attempt_failure{attempt_error::oversized, {}}};
    auto part = decode_shard_reply(reply.body);
    if (!part)
        return tl::unexpected{attempt_failure{attempt_error::malformed, {}}};
    return std::move(*part);
}

} // namespace pollengrade
