/** @file log_line.cpp Parsing of "name=value" pairs. */
#include "runtime/log_line.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace pollengrade {

namespace {

constexpr std::string_view stamp_name = "stamp=";

/** Removes a value from the front of a text: a quoted value, or everything up to the next space. */
std::string take_value(std::string_view& text) {
    std::string value;
    if (!text.starts_with('"')) {
        const auto end = text.find(' ');
        value = std::string{text.substr(0, end)};
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end);
        return value;
    }
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1)
            text.remove_prefix(1);
        value += text.front();
        text.remove_prefix(1);
    }
    text.remove_prefix(std::min<std::size_t>(1, text.size()));
    return value;
}

/** Removes one pair from the front of a text. @return nullopt if there is none left */
std::optional<log_pair> take_pair(std::string_view& text) {
    const auto start = text.find_first_not_of(' ');
    const auto equals = text.find('=');
    if (start == std::string_view::npos || equals == std::string_view::npos || equals < start)
        return std::nullopt;
    log_pair pair{std::string{text.substr(start, equals - start)}, {}};
    text.remove_prefix(equals + 1);
    pair.value = take_value(text);
    return pair;
}

bool read_stamp(std::string_view text, log_line_parts& out) {
    const char* end = text.data() + text.size();
    const auto [dot, ec] = std::from_chars(text.data(), end, out.wall_ms);
    if (ec != std::errc{} || dot == end || *dot != '.')
        return false;
    const auto [last, counter_ec] = std::from_chars(dot + 1, end, out.counter);
    return counter_ec == std::errc{} && last == end;
}

} // namespace

std::string_view log_line_parts::value_of(std::string_view name) const {
    const auto it =
        std::find_if(pairs.begin(), pairs.end(), [name](const log_pair& pair) { return pair.name == name; });
    return it == pairs.end() ? std::string_view{} : std::string_view{it->value};
}

std::optional<log_line_parts> parse_log_line(std::string_view line) {
    while (line.ends_with('\n') || line.ends_with('\r'))
        line.remove_suffix(1);
    const auto start = line.find(stamp_name);
    if (start == std::string_view::npos)
        return std::nullopt;
    line.remove_prefix(start);
    log_line_parts parts;
    const auto stamp = take_pair(line);
    if (!stamp || !read_stamp(stamp->value, parts))
        return std::nullopt;
    while (auto pair = take_pair(line)) {
        if (pair->name == "node" && parts.node.empty())
            parts.node = std::move(pair->value);
        else if (pair->name == "event" && parts.event.empty())
            parts.event = std::move(pair->value);
        else if (pair->name == "request" && parts.request.empty())
            parts.request = std::move(pair->value);
        else if (pair->name == "subject" && parts.subject.empty())
            parts.subject = std::move(pair->value);
        else
            parts.pairs.push_back(std::move(*pair));
    }
    if (parts.node.empty() || parts.event.empty())
        return std::nullopt;
    return parts;
}

} // namespace pollengrade
