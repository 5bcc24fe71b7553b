/** @file log_files.cpp Reads, merges and formats log lines. */
#include "ctl/log_files.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <string_view>
#include <tuple>
#include <utility>

namespace pollengrade {

namespace {

bool read_lines(std::istream& in, std::vector<log_line_parts>& lines) {
    for (std::string text; std::getline(in, text);) {
        if (auto parts = parse_log_line(text))
            lines.push_back(std::move(*parts));
    }
    return !in.bad();
}

} // namespace

std::optional<std::vector<log_line_parts>> read_log_files(const std::vector<std::string>& files) {
    std::vector<log_line_parts> lines;
    for (const std::string& file : files) {
        std::ifstream in{file};
        const bool read_succeeded = file == "-" ? read_lines(std::cin, lines) : in && read_lines(in, lines);
        if (!read_succeeded) {
            std::cerr << "pollengradectl: cannot read " << file << "\n";
            return std::nullopt;
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const log_line_parts& a, const log_line_parts& b) {
        return std::tie(a.wall_ms, a.counter) < std::tie(b.wall_ms, b.counter);
    });
    return lines;
}

std::set<std::string> servers_named_by(const log_line_parts& line) {
    std::set<std::string> servers;
    for (const char* name : {"server", "servers", "asked"}) {
        std::string_view list = line.value_of(name);
        while (!list.empty()) {
            const auto comma = list.find(',');
            servers.emplace(list.substr(0, comma));
            list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
        }
    }
    return servers;
}

std::string format_log_line(const log_line_parts& line) {
    std::string text = line.node;
    text.append(" ").append(line.event);
    if (!line.subject.empty())
        text.append(" ").append(line.subject);
    for (const auto& [name, value] : line.pairs)
        text.append(" ").append(name).append("=").append(value);
    return text;
}

} // namespace pollengrade
