/** @file json_slice.cpp Finds the ends of the values in a JSON text. */
#include "json/json_slice.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <system_error>

#include "json/json_scanner.h"

namespace pollengrade {

namespace {

constexpr std::size_t escape_size = 6; ///< of "\uXXXX"

/** @return the code unit of an escape "\uXXXX" at the start of @p text; nullopt if there is none. */
std::optional<unsigned> code_unit_of(std::string_view text) {
    constexpr int base = 16;
    if (text.size() < escape_size || !text.starts_with("\\u"))
        return std::nullopt;
    unsigned unit = 0;
    const char* end = text.data() + escape_size;
    const auto [last, ec] = std::from_chars(text.data() + 2, end, unit, base);
    return ec == std::errc{} && last == end ? std::optional{unit} : std::nullopt;
}

bool is_high(std::optional<unsigned> unit) {
    return unit && *unit >= 0xd800 && *unit < 0xdc00; // NOLINT(*-magic-numbers): ranges of UTF-16
}

bool is_low(std::optional<unsigned> unit) {
    return unit && *unit >= 0xdc00 && *unit < 0xe000; // NOLINT(*-magic-numbers): ranges of UTF-16
}

} // namespace

std::string_view unquoted(std::string_view text) {
    return text.size() < 2 ? std::string_view{} : text.substr(1, text.size() - 2);
}

std::optional<std::vector<json_slice_member>> members_of(std::string_view text) {
    json_scanner at{text};
    std::vector<json_slice_member> members;
    if (!at.take('{'))
        return std::nullopt;
    if (at.take('}'))
        return at.is_at_end() ? std::optional{members} : std::nullopt;
    do {
        const auto name = at.value();
        if (!name || !name->starts_with('"') || !at.take(':'))
            return std::nullopt;
        const auto value = at.value();
        if (!value)
            return std::nullopt;
        members.push_back({unquoted(*name), *value});
    } while (at.take(','));
    return at.take('}') && at.is_at_end() ? std::optional{std::move(members)} : std::nullopt;
}

std::optional<std::string_view> value_of(const std::vector<json_slice_member>& members,
                                         std::string_view name) {
    const auto it = std::find_if(members.begin(), members.end(),
                                 [name](const json_slice_member& one) { return one.name == name; });
    return it == members.end() ? std::nullopt : std::optional{it->value};
}

std::string with_whole_surrogates(std::string_view text) {
    constexpr std::string_view replacement = "\\ufffd";
    std::string mended;
    mended.reserve(text.size());
    while (!text.empty()) {
        const auto unit = code_unit_of(text);
        const bool is_pair = is_high(unit) && is_low(code_unit_of(text.substr(escape_size)));
        std::size_t used = 1;
        if (is_pair)
            used = 2 * escape_size;
        else if (is_high(unit) || is_low(unit))
            used = escape_size;
        else if (text.front() == '\\')
            used = std::min<std::size_t>(2, text.size()); // An escaped backslash begins no escape.
        mended += !is_pair && used == escape_size ? replacement : text.substr(0, used);
        text.remove_prefix(used);
    }
    return mended;
}

} // namespace pollengrade
