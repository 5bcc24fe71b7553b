/** @file codec.cpp Writes and reads the JSON documents. */
#include "http/codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>

#include "json/json_view.h"

namespace pollengrade {

namespace {

constexpr std::array<std::string_view, 4> claim_state_names{"claimed", "released", "answered", "unknown"};

void write_rows(json_writer& out, const std::vector<result_row>& rows) {
    out.name("rows").begin_array();
    for (const result_row& it : rows) {
        out.begin_object();
        out.member("score", it.score).member("key", it.key).member("text", it.text);
        out.end_object();
    }
    out.end_array();
}

std::optional<std::vector<result_row>> read_rows(const json_view& object) {
    const auto member = object.member("rows");
    const auto elements = member ? member->elements() : std::nullopt;
    if (!elements)
        return std::nullopt;
    std::vector<result_row> rows;
    rows.reserve(elements->size());
    for (const json_view& it : *elements) {
        const auto score = it.integer("score");
        const auto key = it.text("key");
        const auto text = it.text("text");
        if (!score || !key || !text)
            return std::nullopt;
        rows.push_back({*score, std::string{*key}, std::string{*text}});
    }
    return rows;
}

std::optional<std::uint32_t> read_count(const json_view& object, const char* name) {
    const auto n = object.natural(name);
    if (!n || *n > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return static_cast<std::uint32_t>(*n);
}

std::optional<shard_entry> read_shard(const json_view& object) {
    const auto id = read_count(object, "id");
    const auto replicas = object.member("replicas");
    const auto elements = replicas ? replicas->elements() : std::nullopt;
    if (!id || !elements)
        return std::nullopt;
    shard_entry entry{shard_id{*id}, {}};
    for (const json_view& it : *elements) {
        const auto address = it.text();
        if (!address)
            return std::nullopt;
        entry.replicas.emplace_back(std::string{*address});
    }
    return entry;
}

std::optional<shard_map> read_shard_map(const json_view& object) {
    const auto version = object.natural("version");
    const auto shards = object.member("shards");
    const auto elements = shards ? shards->elements() : std::nullopt;
    if (!version || !elements)
        return std::nullopt;
    shard_map map{index_version{*version}, {}};
    for (const json_view& it : *elements) {
        auto entry = read_shard(it);
        if (!entry)
            return std::nullopt;
        map.shards.push_back(std::move(*entry));
    }
    return map;
}

} // namespace

std::string encode_answer(const answer& it) {
    json_writer out;
    out.begin_object();
    out.member("request_id", it.id.value()).member("outcome", to_string(it.result));
    if (it.reason != refusal_reason::none)
        out.member("reason", to_string(it.reason));
    if (it.result == outcome::refused)
        out.member("not_run", it.scope == refusal_scope::request ? "request" : "attempt");
    if (it.retry_after.count() > 0)
        out.member("retry_after_ms", std::max<std::int64_t>(1, to_milliseconds(it.retry_after)));
    if (it.replayed)
        out.member("replayed", true);
    if (it.result == outcome::answered || it.result == outcome::partial) {
        out.member("index_version", it.version.value());
        write_rows(out, it.rows);
        out.name("coverage").begin_object().name("included").begin_array();
        for (const shard_id shard : it.included)
            out.value(shard.value());
        out.end_array().name("missing").begin_array();
        for (const missing_shard& shard : it.missing) {
            out.begin_object();
            out.member("shard", shard.shard.value()).member("reason", to_string(shard.reason));
            out.end_object();
        }
        out.end_array().end_object();
    }
    return out.end_object().take();
}

std::optional<shard_reply> decode_shard_reply(std::string_view text) {
    const auto document = json_document::parse(text);
    if (!document)
        return std::nullopt;
    const json_view root = document->root();
    const auto request = root.text("request_id");
    const auto shard = read_count(root, "shard");
    const auto version = root.natural("index_version");
    const auto in_flight = read_count(root, "in_flight");
    const auto draining = root.boolean("draining");
    const auto incarnation = root.text("incarnation");
    auto rows = read_rows(root);
    if (!request || !shard || !version || !in_flight || !draining || !incarnation || !rows)
        return std::nullopt;
    return shard_reply{request_id{std::string{*request}},
                       shard_id{*shard},
                       index_version{*version},
                       std::move(*rows),
                       *in_flight,
                       *draining,
                       std::string{*incarnation}};
}

tl::expected<std::vector<shard_map>, shard_map_error> decode_shard_maps(std::string_view text) {
    const auto document = json_document::parse(text);
    const auto versions = document ? document->root().member("versions") : std::nullopt;
    const auto elements = versions ? versions->elements() : std::nullopt;
    if (!elements)
        return tl::unexpected{shard_map_error::malformed};
    std::vector<shard_map> maps;
    for (const json_view& it : *elements) {
        auto map = read_shard_map(it);
        if (!map)
            return tl::unexpected{shard_map_error::malformed};
        if (const auto valid = check(*map); !valid)
            return tl::unexpected{valid.error()};
        maps.push_back(std::move(*map));
    }
    return maps;
}

std::string encode_claim(const claim& it) {
    json_writer out;
    out.begin_object();
    out.member("state", claim_state_names.at(static_cast<std::size_t>(it.state)));
    out.member("token", it.token).member("fingerprint", std::to_string(it.fingerprint));
    out.member("index_version", it.version.value()).member("shard", it.shard.value());
    write_rows(out, it.rows);
    return out.end_object().take();
}

std::optional<claim> decode_claim(std::string_view text) {
    const auto document = json_document::parse(text);
    if (!document)
        return std::nullopt;
    const json_view root = document->root();
    const auto state = root.text("state");
    const auto token = root.text("token");
    const auto fingerprint = root.text("fingerprint");
    const auto version = root.natural("index_version");
    const auto shard = read_count(root, "shard");
    auto rows = read_rows(root);
    if (!state || !token || !fingerprint || !version || !shard || !rows)
        return std::nullopt;
    claim it;
    std::size_t n = 0;
    while (n < claim_state_names.size() && claim_state_names.at(n) != *state)
        ++n;
    if (n == claim_state_names.size())
        return std::nullopt;
    it.state = static_cast<claim_state>(n);
    it.token = std::string{*token};
    const auto [end, ec] =
        std::from_chars(fingerprint->data(), fingerprint->data() + fingerprint->size(), it.fingerprint);
    if (ec != std::errc{} || end != fingerprint->data() + fingerprint->size())
        return std::nullopt;
    it.version = index_version{*version};
    it.shard = shard_id{*shard};
    it.rows = std::move(*rows);
    return it;
}

std::string encode_events(std::string_view node, const event_log& log) {
    json_writer out;
    out.begin_object().member("node", node).name("events").begin_array();
    for (const event& it : log.events()) {
        out.begin_object();
        out.member("wall_ms", it.stamp.wall_ms).member("counter", it.stamp.counter);
        out.member("kind", to_string(it.kind)).member("request", it.request.value());
        out.member("subject", it.subject).name("fields").begin_object();
        for (const event_field& field : it.fields)
            out.member(to_string(field.key).data(), field.value);
        out.end_object().end_object();
    }
    return out.end_array().end_object().take();
}

} // namespace pollengrade
