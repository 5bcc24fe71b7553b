/** @file query_codec.cpp Converts delegated queries and answers between the messages of peer.capnp and the
 * core's types. */
#include <algorithm>
#include <cstdint>
#include <limits>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <variant>

#include "peer/peer_codec.h"

namespace pollengrade {

namespace {

constexpr std::size_t max_server_id_bytes = 512; ///< a longer ID is no server's

std::string text_of(capnp::Text::Reader it) {
    return std::string{it.cStr(), it.size()};
}

std::string text_of(capnp::Data::Reader bytes) {
    return std::string{bytes.begin(), bytes.end()};
}

kj::ArrayPtr<const kj::byte> bytes_of(const std::string& text) {
    const auto* bytes =
        reinterpret_cast<const kj::byte*>(text.data()); // NOLINT(*-reinterpret-cast): KJ's bytes
    return kj::arrayPtr(bytes, text.size());
}

void write_fields(const message_fields& fields, capnp::List<wire::Field>::Builder out) {
    for (unsigned n = 0; n < out.size(); ++n) {
        out[n].setName(fields[n].name);
        out[n].setValue(fields[n].value);
    }
}

message_fields read_fields(capnp::List<wire::Field>::Reader in) {
    message_fields fields;
    for (const auto it : in)
        fields.push_back({text_of(it.getName()), text_of(it.getValue())});
    return fields;
}

void write_departed(std::span<const departed_server> servers,
                    capnp::List<wire::DepartedServer>::Builder out) {
    for (unsigned n = 0; n < out.size(); ++n) {
        constexpr std::int64_t max_age_ms = std::numeric_limits<std::uint32_t>::max();
        out[n].setId(servers[n].id.value());
        out[n].setAgeMs(static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(to_milliseconds(servers[n].age), 0, max_age_ms)));
    }
}

std::vector<departed_server> read_departed(capnp::List<wire::DepartedServer>::Reader in) {
    std::vector<departed_server> servers;
    for (const auto it : in) {
        if (servers.size() == max_departures_told)
            break;
        if (it.getId().size() > 0 && it.getId().size() <= max_server_id_bytes)
            servers.push_back({upstream_id{text_of(it.getId())}, std::chrono::milliseconds{it.getAgeMs()}});
    }
    return servers;
}

/** Writes the fields that are specific to each kind of answer. */
struct answer_writer {
    wire::DelegatedAnswer::Builder out;

    void operator()(const proxied_answer& it) {
        out.setStatus(it.message.status);
        write_fields(it.message.fields, out.initFields(static_cast<unsigned>(it.message.fields.size())));
        out.setBody(bytes_of(it.message.body));
    }
    void operator()(const gathered_answer& it) {
        auto signatures = out.initSignatures(static_cast<unsigned>(it.signatures.size()));
        for (unsigned n = 0; n < signatures.size(); ++n)
            signatures.set(n, it.signatures[n]);
        out.setMissing(static_cast<std::uint32_t>(it.missing));
        out.setBody(bytes_of(it.records));
    }
    void operator()(const refused_answer& it) {
        out.setReason(static_cast<std::uint8_t>(it.reason));
        out.setRetryAfterUs(it.retry_after.count());
    }
    void operator()(const failed_answer& it) { out.setReason(static_cast<std::uint8_t>(it.reason)); }
    void operator()(const unroutable_answer&) {}
};

std::optional<proxied_answer> read_proxied(wire::DelegatedAnswer::Reader in) {
    if (!is_final_status(in.getStatus()))
        return std::nullopt;
    proxied_answer it;
    it.message.status = in.getStatus();
    it.message.fields = read_fields(in.getFields());
    it.message.body = text_of(in.getBody());
    return it;
}

gathered_answer read_gathered(wire::DelegatedAnswer::Reader in) {
    gathered_answer it;
    for (const auto signature : in.getSignatures())
        it.signatures.push_back(text_of(signature));
    it.missing = in.getMissing();
    it.records = text_of(in.getBody());
    return it;
}

/** The kinds of answers, in the order of their numbers on the wire. */
enum class answer_kind : std::uint8_t { proxied, gathered, refused, failed, unroutable };

std::optional<forward_answer> read_forward_answer(wire::DelegatedAnswer::Reader in) {
    constexpr std::int64_t max_retry_after_us = 60'000'000;
    switch (static_cast<answer_kind>(in.getKind())) {
    case answer_kind::proxied:
        return read_proxied(in);
    case answer_kind::gathered:
        return read_gathered(in);
    case answer_kind::refused:
        if (in.getReason() > static_cast<std::uint8_t>(forward_refusal::stopping))
            return std::nullopt;
        return refused_answer{
            static_cast<forward_refusal>(in.getReason()),
            duration{std::clamp<std::int64_t>(in.getRetryAfterUs(), 0, max_retry_after_us)}};
    case answer_kind::failed:
        if (in.getReason() > static_cast<std::uint8_t>(forward_failure::unproven_refusal))
            return std::nullopt;
        return failed_answer{static_cast<forward_failure>(in.getReason())};
    case answer_kind::unroutable:
        return unroutable_answer{};
    }
    return std::nullopt;
}

} // namespace

void write_request(const delegated_request& it, wire::DelegatedRequest::Builder out) {
    const forwarded_request& request = *it.request;
    const message_fields& fields = request.message.fields;
    out.setId(request.id.value());
    out.setHost(request.host);
    out.setMethod(request.message.method);
    out.setTarget(request.message.target);
    write_fields(fields, out.initFields(static_cast<unsigned>(fields.size())));
    if (request.body)
        out.setBody(bytes_of(*request.body));
    out.setElapsedUs(it.elapsed.count());
    out.setLeftUs(it.left.count());
    out.setLeastVersion(it.least_version.value());
    out.setRoutesVersion(it.routes_version.value());
    write_departed(it.departed, out.initDeparted(static_cast<unsigned>(it.departed.size())));
}

std::optional<delegated_request> read_request(wire::DelegatedRequest::Reader in) {
    constexpr std::int64_t max_duration_us = 86'400'000'000; // One day.
    const bool is_valid = in.getElapsedUs() >= 0 && in.getElapsedUs() <= max_duration_us &&
                          in.getLeftUs() > 0 && in.getLeftUs() <= max_duration_us &&
                          in.getTarget().startsWith("/");
    if (!is_valid)
        return std::nullopt;
    auto request = std::make_shared<forwarded_request>();
    request->id = request_id{text_of(in.getId())};
    request->host = text_of(in.getHost());
    request->message.method = text_of(in.getMethod());
    request->message.target = text_of(in.getTarget());
    request->path = request->message.target.substr(0, request->message.target.find('?'));
    request->message.fields = read_fields(in.getFields());
    if (in.getBody().size() > 0)
        request->body = std::make_shared<const std::string>(text_of(in.getBody()));
    delegated_request it;
    it.request = std::move(request);
    it.elapsed = duration{in.getElapsedUs()};
    it.left = duration{in.getLeftUs()};
    it.least_version = object_version{in.getLeastVersion()};
    it.routes_version = object_version{in.getRoutesVersion()};
    it.departed = read_departed(in.getDeparted());
    return it;
}

void write_answer(const delegated_answer& it, wire::DelegatedAnswer::Builder out) {
    out.setKind(static_cast<std::uint8_t>(it.answer.index()));
    out.setVersion(it.version.value());
    out.setTookUs(it.took.count());
    out.setIsStale(it.is_declined);
    write_knowledge(it.knowledge, out.initKnowledge());
    write_departed(it.departed, out.initDeparted(static_cast<unsigned>(it.departed.size())));
    std::visit(answer_writer{out}, it.answer);
}

std::optional<delegated_answer> read_answer(wire::DelegatedAnswer::Reader in) {
    auto answer = read_forward_answer(in);
    if (!answer)
        return std::nullopt;
    return delegated_answer{std::move(*answer),
                            object_version{in.getVersion()},
                            duration{std::max<std::int64_t>(0, in.getTookUs())},
                            in.getIsStale(),
                            read_knowledge(in.getKnowledge()),
                            read_departed(in.getDeparted())};
}

} // namespace pollengrade
