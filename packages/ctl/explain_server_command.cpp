/** @file explain_server_command.cpp Implements the explain-server command. */
#include "ctl/explain_server_command.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string_view>

#include "ctl/log_files.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

/** What a line says about the server. */
enum class line_topic { other, server_state, request_sent };

line_topic topic_of(const log_line_parts& line, const std::string& server) {
    if (line.subject == server)
        return line_topic::server_state;
    const bool is_send = line.event == "query_planned" || line.event == "shard_hedged" ||
                         line.event == "shard_retried" || line.event == "order_sent";
    return is_send && servers_named_by(line).contains(server) ? line_topic::request_sent : line_topic::other;
}

bool says_that_it_leaves(const log_line_parts& line) {
    return line.event == "upstream_draining" || line.event == "registry_entry_left";
}

/** @return the node that took a request from its caller: the one that got its answer from a holder. */
std::string_view taken_by(const std::vector<log_line_parts>& lines, const log_line_parts& sent) {
    const auto it = std::find_if(lines.begin(), lines.end(), [&](const log_line_parts& line) {
        return line.request == sent.request && line.event == "request_forwarded" &&
               line.value_of("outcome") == "answered";
    });
    return it == lines.end() ? std::string_view{sent.node} : std::string_view{it->node};
}

} // namespace

exit_code explain_server(const command_context& context, const std::string& server,
                         const std::vector<std::string>& files) {
    const auto lines = read_log_files(files);
    if (!lines)
        return exit_code::usage;
    std::optional<std::int64_t> first;              // When the first node learned that it leaves.
    std::map<std::string, std::int64_t> learned_at; // By node.
    json_writer out;
    out.begin_array();
    std::size_t late = 0;
    bool is_named = false;
    for (const log_line_parts& it : *lines) {
        const line_topic topic = topic_of(it, server);
        if (topic == line_topic::other)
            continue;
        is_named = true;
        if (topic == line_topic::server_state && says_that_it_leaves(it)) {
            first = first.value_or(it.wall_ms);
            learned_at.emplace(it.node, it.wall_ms);
        }
        if (topic == line_topic::request_sent && !first)
            continue;
        const std::int64_t since = first ? it.wall_ms - *first : 0;
        const bool is_sent = topic == line_topic::request_sent;
        late += is_sent ? 1U : 0U;
        const std::string knew = learned_at.contains(it.node) ? "yes" : "no";
        const std::string taker{is_sent ? taken_by(*lines, it) : std::string_view{}};
        if (context.json) {
            out.begin_object().member("ms", since).member("node", it.node).member("event", it.event);
            if (is_sent)
                out.member("request", it.request).member("taken_by", taker).member("node_knew", knew);
            for (const auto& [name, value] : it.pairs)
                out.member(name.c_str(), value);
            out.end_object();
        } else if (is_sent) {
            std::cout << since << " ms " << it.node << " sent " << it.request << " (" << it.event
                      << "), taken by " << taker << ", knew: " << knew << "\n";
        } else {
            std::cout << since << " ms " << format_log_line(it) << "\n";
        }
    }
    if (!is_named) {
        std::cerr << "pollengradectl: no log line names server " << server << "\n";
        return exit_code::negative;
    }
    if (context.json)
        std::cout << out.end_array().take() << "\n";
    else
        std::cout << late << " requests sent after a node learned that the server leaves\n";
    return exit_code::success;
}

} // namespace pollengrade
