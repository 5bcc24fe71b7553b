/** @file explain_command.cpp Implements the explain command. */
#include "ctl/explain_command.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <string_view>

#include "ctl/log_files.h"
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

/** @return the servers that the log lines of a request name. */
std::set<std::string> servers_of(const std::vector<const log_line_parts*>& request_lines) {
    std::set<std::string> servers;
    for (const log_line_parts* it : request_lines)
        servers.merge(servers_named_by(*it));
    return servers;
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
    const auto lines = read_log_files(files);
    if (!lines)
        return exit_code::usage;
    std::vector<const log_line_parts*> request_lines;
    for (const log_line_parts& it : *lines) {
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
    for (const log_line_parts& it : *lines) {
        const bool is_own = it.request == request;
        const bool is_context = servers.contains(it.subject) && it.wall_ms >= start - context_window_ms &&
                                it.wall_ms <= request_lines.back()->wall_ms &&
                                it.node == request_lines.front()->node;
        if (!is_own && !is_context)
            continue;
        if (context.json) {
            out.begin_object().member("ms", it.wall_ms - start).member("node", it.node);
            out.member("event", it.event).member("subject", it.subject);
            for (const auto& [name, value] : it.pairs)
                out.member(name.c_str(), value);
            out.end_object();
        } else {
            std::cout << (is_own ? "" : "  before: ") << it.wall_ms - start << " ms " << format_log_line(it)
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
