/** @file explain_command.cpp Implements the explain command. */
#include "ctl/explain_command.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include "runtime/log_line.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

constexpr std::int64_t context_window_ms =
    10'000; ///< events of the servers of a request are shown from this long before its start

/** @return the explanation of a reason from a log line; empty for an unknown reason. */
std::string_view explanation_of(std::string_view reason) {
    static const std::map<std::string_view, std::string_view> explanations{
        {"not_configured", "the node had no routes yet; nothing was sent"},
        {"no_time", "its deadline passed before anything could be sent; nothing was sent"},
        {"no_server", "too few shards had a usable server for an answer; nothing was sent"},
        {"overload", "the expected wait exceeded the time left; nothing was sent"},
        {"refused_by_all", "every server refused the request before running it"},
        {"timed_out", "no reply arrived in time; a server may have run it"},
        {"connection_lost",
         "the connection was lost after the request was written; a server may have run it"},
        {"too_few_parts", "too few shards replied for an answer"},
        {"no_route", "no route of the version in force matches its host and path"}};
    const auto it = explanations.find(reason);
    return it == explanations.end() ? std::string_view{} : it->second;
}

bool read_lines(std::istream& in, std::vector<log_line_parts>& lines) {
    for (std::string text; std::getline(in, text);) {
        if (auto parts = parse_log_line(text))
            lines.push_back(std::move(*parts));
    }
    return !in.bad();
}

/** @return the servers that the log lines of a request name. */
std::set<std::string> servers_of(const std::vector<const log_line_parts*>& request_lines) {
    std::set<std::string> servers;
    for (const log_line_parts* it : request_lines) {
        for (const char* name : {"server", "servers", "asked"}) {
            std::string_view list = it->value_of(name);
            while (!list.empty()) {
                const auto comma = list.find(',');
                servers.emplace(list.substr(0, comma));
                list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
            }
        }
    }
    return servers;
}

std::string format_line(const log_line_parts& it) {
    std::string text = it.node;
    text.append(" ").append(it.event);
    if (!it.subject.empty())
        text.append(" ").append(it.subject);
    for (const auto& [name, value] : it.pairs)
        text.append(" ").append(name).append("=").append(value);
    return text;
}

void print_cause(const std::vector<const log_line_parts*>& request_lines) {
    const log_line_parts* end = nullptr;
    std::map<std::string, std::string> missing;
    std::map<std::string, int> failures;
    for (const log_line_parts* it : request_lines) {
        const bool is_end = it->event == "request_ended" || it->event == "request_abandoned" ||
                            (it->event == "request_refused" && end == nullptr);
        if (is_end)
            end = it;
        if (it->event == "shard_missing")
            missing[it->subject] = std::string{it->value_of("reason")};
        if (it->event == "attempt_failed")
            ++failures[std::string{it->value_of("cause")}];
    }
    if (end == nullptr) {
        std::cout << "cause: unknown, the end of the request is not among these lines; omitted lines are "
                     "reported as lines_left_out\n";
        return;
    }
    if (end->event == "request_abandoned") {
        std::cout << "cause: the caller disconnected after " << end->value_of("took_ms") << " ms\n";
        return;
    }
    std::cout << "cause: " << (end->event == "request_refused" ? "refused" : end->value_of("outcome"));
    if (const auto reason = end->value_of("reason"); !reason.empty())
        std::cout << ", " << reason << ": " << explanation_of(reason);
    std::cout << "\n";
    for (const auto& [shard, reason] : missing)
        std::cout << "  missing shard " << shard << ": " << reason << "\n";
    for (const auto& [cause, count] : failures)
        std::cout << "  " << count << " attempts failed: " << cause << "\n";
}

} // namespace

exit_code explain_request(const command_context& context, const std::string& request,
                          const std::vector<std::string>& files) {
    std::vector<log_line_parts> lines;
    for (const std::string& file : files) {
        std::ifstream in{file};
        const bool read_succeeded = file == "-" ? read_lines(std::cin, lines) : in && read_lines(in, lines);
        if (!read_succeeded) {
            std::cerr << "pollengradectl: cannot read " << file << "\n";
            return exit_code::usage;
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const log_line_parts& a, const log_line_parts& b) {
        return std::tie(a.wall_ms, a.counter) < std::tie(b.wall_ms, b.counter);
    });
    std::vector<const log_line_parts*> request_lines;
    for (const log_line_parts& it : lines) {
        if (it.request == request)
            request_lines.push_back(&it);
    }
    if (request_lines.empty()) {
        std::cerr << "pollengradectl: no log line of request " << request << "\n";
        return exit_code::negative;
    }
    const std::int64_t start = request_lines.front()->wall_ms;
    const std::set<std::string> servers = servers_of(request_lines);
    json_writer out;
    out.begin_array();
    for (const log_line_parts& it : lines) {
        const bool is_own = it.request == request;
        const bool is_context =
            it.request.empty() && servers.contains(it.subject) && it.wall_ms >= start - context_window_ms &&
            it.wall_ms <= request_lines.back()->wall_ms && it.node == request_lines.front()->node;
        if (!is_own && !is_context)
            continue;
        if (context.json) {
            out.begin_object().member("ms", it.wall_ms - start).member("node", it.node);
            out.member("event", it.event).member("subject", it.subject);
            for (const auto& [name, value] : it.pairs)
                out.member(name.c_str(), value);
            out.end_object();
        } else {
            std::cout << (is_own ? "" : "  before: ") << it.wall_ms - start << " ms " << format_line(it)
                      << "\n";
        }
    }
    if (context.json)
        std::cout << out.end_array().take() << "\n";
    else
        print_cause(request_lines);
    return exit_code::success;
}

} // namespace pollengrade
