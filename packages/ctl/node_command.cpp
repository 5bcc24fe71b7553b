/** @file node_command.cpp Implements the status, timeline and query commands. */
#include "ctl/node_command.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <optional>
#include <tuple>
#include <vector>

#include "ctl/http_call.h"
#include "http/header_names.h"
#include "http/uri_func.h"
#include "runtime/loop_clock.h"
#include "runtime/random_source.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

exit_code fail(exit_code code, const std::string& text) {
    std::cerr << "pollengradectl: " << text << "\n";
    return code;
}

/** One event and the node that recorded it. */
struct merged_event {
    std::int64_t wall_ms = 0;
    std::int64_t counter = 0;
    std::string node;
    std::string kind;
    std::string request;
    std::string subject;
    std::string fields; ///< name=value pairs, as in log lines
};

std::string text_or_empty(const json_view& it, const char* name) {
    return std::string{it.text(name).value_or("")};
}

/** @return the fields of an event as " name=value name=value". */
std::string fields_of(const json_view& event) {
    std::string buf;
    const auto fields = event.member("fields");
    for (const auto& [name, value] : fields ? fields->members() : std::vector<json_member>{})
        buf += " " + name + "=" + std::string{value.text().value_or("")};
    return buf;
}

bool append_events(const std::string& body, const timeline_arguments& filter,
                   std::vector<merged_event>& events) {
    const auto document = json_document::parse(body);
    const auto list = document ? document->root().member("events") : std::nullopt;
    const auto elements = list ? list->elements() : std::nullopt;
    if (!elements)
        return false;
    const std::string node = text_or_empty(document->root(), "node");
    for (const json_view& it : *elements) {
        merged_event event{it.integer("wall_ms").value_or(0),
                           it.integer("counter").value_or(0),
                           node,
                           text_or_empty(it, "kind"),
                           text_or_empty(it, "request"),
                           text_or_empty(it, "subject"),
                           fields_of(it)};
        if (!filter.request.empty() && event.request != filter.request)
            continue;
        if (!filter.subject.empty() && event.subject != filter.subject)
            continue;
        events.push_back(std::move(event));
    }
    return true;
}

/** Prints the events as a JSON array in the trace event format of trace viewers. */
void print_trace(const std::vector<merged_event>& events) {
    constexpr std::int64_t microseconds_per_millisecond = 1000;
    json_writer out;
    out.begin_array();
    for (const merged_event& it : events) {
        out.begin_object().member("name", it.kind).member("ph", "i").member("s", "p");
        out.member("ts", it.wall_ms * microseconds_per_millisecond + it.counter);
        out.member("pid", it.node).member("tid", it.request.empty() ? it.subject : it.request);
        out.name("args").begin_object().member("subject", it.subject).member("fields", it.fields);
        out.end_object().end_object();
    }
    std::cout << out.end_array().take() << "\n";
}

std::string make_idempotency_key() {
    const auto random = system_random();
    const auto now = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
    constexpr unsigned time_low_bits = 16;
    std::array<char, 37> buf{};
    const std::uint64_t a = random();
    const std::uint64_t b = random();
    std::snprintf(buf.data(), buf.size(), "%08x-%04x-7%03x-%04x-%012llx", // NOLINT(*-vararg): fixed-width hex
                  static_cast<unsigned>(now >> time_low_bits), static_cast<unsigned>(now & 0xffffU),
                  static_cast<unsigned>(a & 0xfffU), static_cast<unsigned>(0x8000U | ((a >> 12U) & 0x3fffU)),
                  static_cast<unsigned long long>(b & 0xffffffffffffULL));
    return std::string{buf.data()};
}

void print_answer(const json_view& answer) {
    const std::string outcome = text_or_empty(answer, "outcome");
    std::cout << "outcome   " << outcome;
    if (const auto reason = answer.text("reason"))
        std::cout << " (" << *reason << ")";
    if (const auto scope = answer.text("not_run"))
        std::cout << ", not run: " << *scope;
    if (const auto wait = answer.integer("retry_after_ms"))
        std::cout << ", retry after " << *wait << " ms";
    std::cout << "\nrequest   " << text_or_empty(answer, "request_id") << "\n";
    if (const auto version = answer.integer("index_version"))
        std::cout << "version   " << *version << "\n";
    const auto coverage = answer.member("coverage");
    const auto included = coverage ? coverage->member("included") : std::nullopt;
    const auto missing = coverage ? coverage->member("missing") : std::nullopt;
    if (included && missing) {
        const auto in = included->elements().value_or(std::vector<json_view>{});
        const auto out = missing->elements().value_or(std::vector<json_view>{});
        std::cout << "coverage  " << in.size() << " of " << in.size() + out.size() << " shards\n";
        for (const json_view& it : out)
            std::cout << "  missing shard " << it.integer("shard").value_or(-1) << ": "
                      << text_or_empty(it, "reason") << "\n";
    }
    const auto rows = answer.member("rows");
    for (const json_view& it :
         rows ? rows->elements().value_or(std::vector<json_view>{}) : std::vector<json_view>{})
        std::cout << "  " << it.integer("score").value_or(0) << "\t" << text_or_empty(it, "key") << "\t"
                  << text_or_empty(it, "text") << "\n";
}

} // namespace

void discover_nodes(command_context& context) {
    const std::vector<std::string> named = context.nodes;
    for (const std::string& address : named) {
        const auto reply =
            call({.address = address, .path = "/status", .body = {}, .headers = {}, .timeout_seconds = 2});
        const auto document = reply ? json_document::parse(reply->body) : std::nullopt;
        const auto list = document ? document->root().member("nodes") : std::nullopt;
        const auto nodes = list ? list->elements() : std::nullopt;
        if (!nodes)
            continue;
        for (const json_view& it : *nodes) {
            const std::string operators = text_or_empty(it, "operators");
            const bool is_known =
                std::find(context.nodes.begin(), context.nodes.end(), operators) != context.nodes.end();
            if (it.text("state") == "alive" && !is_known)
                context.nodes.push_back(operators);
        }
    }
}

exit_code show_status(const command_context& context) {
    std::size_t reached = 0;
    std::string joined;
    for (const std::string& address : context.nodes) {
        const auto reply =
            call({.address = address, .path = "/status", .body = {}, .headers = {}, .timeout_seconds = 2});
        const auto document = reply ? json_document::parse(reply->body) : std::nullopt;
        if (!document) {
            std::cerr << address << ": could not be reached\n";
            continue;
        }
        joined += (reached == 0 ? "" : ",") + reply->body;
        ++reached;
        if (context.json)
            continue;
        const json_view root = document->root();
        std::cout << text_or_empty(root, "node") << " (" << address << ", "
                  << text_or_empty(root, "failure_domain")
                  << "): " << (root.boolean("ready").value_or(false) ? "ready" : "not ready")
                  << (root.boolean("leaving").value_or(false) ? ", leaving" : "")
                  << (root.boolean("in_touch").value_or(true) ? "" : ", no contact with other nodes") << ", "
                  << root.integer("running").value_or(0) << " running\n";
        const auto services = root.member("services");
        for (const json_view& it :
             services ? services->elements().value_or(std::vector<json_view>{}) : std::vector<json_view>{}) {
            std::cout << "  service " << text_or_empty(it, "name") << ": document "
                      << it.integer("document_version").value_or(0) << ", shard maps "
                      << it.integer("shard_maps_version").value_or(0) << "\n";
        }
        const auto upstreams = root.member("upstreams");
        for (const json_view& it : upstreams ? upstreams->elements().value_or(std::vector<json_view>{})
                                             : std::vector<json_view>{}) {
            if (it.boolean("draining").value_or(false))
                std::cout << "  upstream " << text_or_empty(it, "address") << ": draining\n";
            else if (!it.boolean("usable").value_or(true))
                std::cout << "  upstream " << text_or_empty(it, "address") << ": unreachable\n";
        }
    }
    if (context.json)
        std::cout << "[" << joined << "]\n";
    return reached == context.nodes.size() ? exit_code::success : exit_code::unreachable;
}

exit_code show_timeline(const command_context& context, const timeline_arguments& arguments) {
    std::vector<merged_event> events;
    bool complete = true;
    for (const std::string& address : context.nodes) {
        const auto reply = call({.address = address, .path = "/timeline", .body = {}, .headers = {}});
        if (!reply || !append_events(reply->body, arguments, events)) {
            std::cerr << address << ": could not be reached; its events are missing from the output\n";
            complete = false;
        }
    }
    std::sort(events.begin(), events.end(), [](const merged_event& a, const merged_event& b) {
        return std::tie(a.wall_ms, a.counter, a.node) < std::tie(b.wall_ms, b.counter, b.node);
    });
    if (arguments.trace || context.json) {
        print_trace(events);
    } else {
        for (const merged_event& it : events) {
            std::cout << it.wall_ms << "." << it.counter << " " << it.node << " " << it.kind << " "
                      << (it.request.empty() ? "-" : it.request) << " "
                      << (it.subject.empty() ? "-" : it.subject) << it.fields << "\n";
        }
    }
    return complete ? exit_code::success : exit_code::unreachable;
}

exit_code run_query(const command_context& context, query_kind kind, const query_arguments& arguments) {
    call_request request;
    request.address = context.callers;
    const std::string base = "/v1/" + escape_uri(arguments.service);
    switch (kind) {
    case query_kind::search:
        request.path = base + "/search?q=" + escape_uri(arguments.text);
        break;
    case query_kind::lookup:
        request.path = base + "/lookup?number=" + escape_uri(arguments.text);
        break;
    case query_kind::order:
        request.method = "POST";
        request.path = base + "/orders?number=" + escape_uri(arguments.number);
        request.body = arguments.text;
        request.headers[idempotency_key_header] =
            arguments.key.empty() ? make_idempotency_key() : arguments.key;
        std::cerr << "idempotency key " << request.headers[idempotency_key_header]
                  << " (use it again to retrieve the outcome of the same order)\n";
        break;
    }
    if (!arguments.deadline_ms.empty())
        request.headers[deadline_ms_header] = arguments.deadline_ms;
    request.timeout_seconds = 65;
    const auto reply = call(request);
    if (!reply) {
        const bool sent = reply.error() == call_error::reply_lost;
        return fail(sent ? exit_code::unknown : exit_code::unreachable,
                    "no reply from " + context.callers +
                        (sent ? "; the request may have run" : "; nothing was sent"));
    }
    const auto document = json_document::parse(reply->body);
    if (!document)
        return fail(exit_code::unreachable, "the reply from " + context.callers + " is not from a node");
    if (context.json)
        std::cout << reply->body;
    else
        print_answer(document->root());
    const auto outcome = document->root().text("outcome");
    if (outcome == "answered")
        return exit_code::success;
    if (outcome == "unknown")
        return exit_code::unknown;
    return outcome == "invalid" ? exit_code::invalid : exit_code::negative;
}

} // namespace pollengrade
