/** @file ini_document.cpp Parses and validates INI texts. */
#include "core/config/ini_document.h"

#include <array>
#include <cassert>
#include <charconv>
#include <optional>
#include <sstream>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

namespace pollengrade {

namespace {

constexpr std::array<std::string_view, 10> code_names{
    "syntax",       "duplicate",    "unknown_group", "unknown_key", "missing_key",
    "not_a_number", "not_a_choice", "out_of_range",  "too_long",    "inconsistent"};

constexpr std::string_view whitespace = " \t\r";

std::string_view trim(std::string_view it) {
    const auto first = it.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return it.substr(first, it.find_last_not_of(whitespace) - first + 1);
}

/** Line numbers of groups and keys, which the INI library does not record. */
class line_index {
public:
    explicit line_index(std::string_view text) {
        std::string group;
        unsigned long line = 0;
        while (!text.empty()) {
            ++line;
            const auto end = text.find('\n');
            const std::string_view content = trim(text.substr(0, end));
            text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
            if (content.starts_with('[')) {
                group = std::string{content.substr(1, content.find(']') - 1)};
                lines_.try_emplace({group, {}}, line);
            } else if (const auto equals = content.find('='); equals != std::string_view::npos) {
                lines_.try_emplace({group, std::string{trim(content.substr(0, equals))}}, line);
            }
        }
    }

    [[nodiscard]] unsigned long line_of(const std::string& group, const std::string& key) const {
        const auto it = lines_.find({group, key});
        return it == lines_.end() ? 0 : it->second;
    }

private:
    std::map<std::pair<std::string, std::string>, unsigned long> lines_;
};

std::optional<std::int64_t> to_number(std::string_view text) {
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

std::optional<double> to_decimal(std::string_view text) {
    double n = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), n, std::chars_format::fixed);
    if (ec != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

bool is_choice(std::string_view text, std::string_view choices) {
    while (!choices.empty()) {
        const auto bar = choices.find('|');
        if (choices.substr(0, bar) == text)
            return true;
        choices = bar == std::string_view::npos ? std::string_view{} : choices.substr(bar + 1);
    }
    return false;
}

std::string range_of(const key_rule& rule) {
    return std::to_string(rule.min) + " to " + std::to_string(rule.max);
}

std::optional<settings_error_code> check_value(const key_rule& rule, std::string_view value) {
    switch (rule.type) {
    case setting_type::choice:
        if (!is_choice(value, rule.choices))
            return settings_error_code::not_a_choice;
        break;
    case setting_type::number: {
        const auto n = to_number(value);
        if (!n)
            return settings_error_code::not_a_number;
        if (*n < rule.min || *n > rule.max)
            return settings_error_code::out_of_range;
        break;
    }
    case setting_type::decimal: {
        const auto n = to_decimal(value);
        if (!n)
            return settings_error_code::not_a_number;
        if (*n < static_cast<double>(rule.min) || *n > static_cast<double>(rule.max))
            return settings_error_code::out_of_range;
        break;
    }
    case setting_type::text: {
        const auto size = static_cast<std::int64_t>(value.size());
        if (size < rule.min || size > rule.max)
            return settings_error_code::out_of_range;
        break;
    }
    }
    return std::nullopt;
}

std::string expected_value_text(const key_rule& rule) {
    switch (rule.type) {
    case setting_type::choice:
        return "one of " + std::string{rule.choices};
    case setting_type::number:
    case setting_type::decimal:
        return range_of(rule) + (rule.unit.empty() ? "" : " " + std::string{rule.unit});
    case setting_type::text:
        return range_of(rule) + " bytes";
    }
    return {};
}

const key_rule* find_rule(std::span<const key_rule> rules, std::string_view group, std::string_view key) {
    for (const key_rule& it : rules) {
        if (it.group == group && it.key == key)
            return &it;
    }
    return nullptr;
}

bool is_group(std::span<const key_rule> rules, std::string_view group) {
    for (const key_rule& it : rules) {
        if (it.group == group)
            return true;
    }
    return false;
}

/** @return the parsed tree of @p text, or the error at which the library stopped. */
tl::expected<boost::property_tree::ptree, settings_error> read_tree(std::string_view text) {
    boost::property_tree::ptree tree;
    std::istringstream in{std::string{text}};
    try {
        boost::property_tree::read_ini(in, tree);
    } catch (const boost::property_tree::ini_parser_error& ec) {
        const bool is_duplicate = ec.message().find("duplicate") != std::string::npos;
        return tl::unexpected{
            settings_error{is_duplicate ? settings_error_code::duplicate : settings_error_code::syntax,
                           {},
                           {},
                           ec.line(),
                           ec.message()}};
    }
    return tree;
}

} // namespace

std::string_view to_string(settings_error_code it) {
    return code_names.at(static_cast<std::size_t>(it));
}

std::string describe(const settings_error& it) {
    std::string buf = it.line == 0 ? std::string{} : "line " + std::to_string(it.line) + ": ";
    if (!it.group.empty())
        buf += "[" + it.group + "] ";
    if (!it.key.empty())
        buf += it.key + ": ";
    buf += to_string(it.code);
    if (!it.detail.empty())
        buf += ": " + it.detail;
    return buf;
}

tl::expected<ini_document, std::vector<settings_error>> ini_document::parse(std::string_view text,
                                                                            std::span<const key_rule> rules) {
    if (text.size() > max_settings_bytes) {
        return tl::unexpected{
            std::vector{settings_error{settings_error_code::too_long,
                                       {},
                                       {},
                                       0,
                                       std::to_string(max_settings_bytes) + " bytes at most"}}};
    }
    const auto tree = read_tree(text);
    if (!tree)
        return tl::unexpected{std::vector{tree.error()}};

    const line_index lines{text};
    std::vector<settings_error> errors;
    ini_document document;
    for (const auto& [group, keys] : *tree) {
        if (!is_group(rules, group)) {
            const bool bare_key = keys.empty() && lines.line_of(group, {}) == 0;
            const auto line = bare_key ? lines.line_of({}, group) : lines.line_of(group, {});
            errors.push_back({settings_error_code::unknown_group, bare_key ? "" : group,
                              bare_key ? group : "", line, bare_key ? "a key outside of any group" : ""});
            continue;
        }
        for (const auto& [key, node] : keys) {
            const auto line = lines.line_of(group, key);
            const key_rule* rule = find_rule(rules, group, key);
            if (rule == nullptr) {
                errors.push_back({settings_error_code::unknown_key, group, key, line, {}});
                continue;
            }
            if (const auto code = check_value(*rule, node.data()))
                errors.push_back({*code, group, key, line, expected_value_text(*rule)});
            document.values_[{group, key}] = node.data();
        }
    }
    for (const key_rule& it : rules) {
        const std::pair key{std::string{it.group}, std::string{it.key}};
        if (document.values_.contains(key))
            continue;
        if (it.required)
            errors.push_back(
                {settings_error_code::missing_key, key.first, key.second, 0, expected_value_text(it)});
        document.values_[key] = std::string{it.default_value};
    }
    if (!errors.empty())
        return tl::unexpected{std::move(errors)};
    return document;
}

const std::string& ini_document::text(std::string_view group, std::string_view key) const {
    const auto it = values_.find(std::pair{std::string{group}, std::string{key}});
    assert(it != values_.end());
    return it->second;
}

std::int64_t ini_document::number(std::string_view group, std::string_view key) const {
    const auto n = to_number(text(group, key));
    assert(n.has_value());
    return *n;
}

double ini_document::decimal(std::string_view group, std::string_view key) const {
    const auto n = to_decimal(text(group, key));
    assert(n.has_value());
    return *n;
}

std::string describe_rules(std::span<const key_rule> rules) {
    std::string buf = "| group | key | unit | range | default | meaning |\n|---|---|---|---|---|---|\n";
    for (const key_rule& it : rules) {
        const std::string range = it.type == setting_type::choice ? std::string{it.choices} : range_of(it);
        std::string range_text;
        for (const char c : range) {
            if (c == '|')
                range_text += ", ";
            else
                range_text += c;
        }
        buf += "| " + std::string{it.group} + " | " + std::string{it.key} + " | " +
               std::string{it.type == setting_type::text ? "bytes" : it.unit} + " | " + range_text + " | " +
               (it.required ? "required" : std::string{it.default_value}) + " | " +
               std::string{it.description} + " |\n";
    }
    return buf;
}

} // namespace pollengrade
