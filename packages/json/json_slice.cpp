/** @file json_slice.cpp Scans JSON for the ends of its values. */
#include "json/json_slice.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <system_error>

namespace pollengrade {

namespace {

/** A position in a JSON text. */
class scanner {
public:
    explicit scanner(std::string_view text) : text_{text} {}

    /** Skips white space and then one character. @return false, and skips nothing more, if it is another */
    bool take(char expected) {
        skip_space();
        if (at_ >= text_.size() || text_[at_] != expected)
            return false;
        ++at_;
        return true;
    }

    /** Skips white space and a value. @return the value; nullopt if there is none or it has no end */
    std::optional<std::string_view> value() {
        skip_space();
        const std::size_t from = at_;
        if (!skip_value() || at_ == from)
            return std::nullopt;
        return text_.substr(from, at_ - from);
    }

    [[nodiscard]] bool is_at_end() {
        skip_space();
        return at_ >= text_.size();
    }

private:
    static bool is_opening(char c) { return c == '[' || c == '{'; }
    static bool is_closing(char c) { return c == ']' || c == '}'; }
    static bool closes(char opening, char c) { return (opening == '[') == (c == ']'); }
    static bool is_separator(char c) { return c == ',' || c == ':' || c == ']' || c == '}'; }
    static bool is_space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

    [[nodiscard]] bool is_at_end_of_scalar() const {
        return at_ >= text_.size() || is_separator(text_[at_]) || is_space(text_[at_]);
    }

    void skip_space() {
        while (at_ < text_.size() && is_space(text_[at_]))
            ++at_;
    }

    /** @return false if the value has no end */
    bool skip_value() {
        if (at_ < text_.size() && text_[at_] == '"')
            return skip_string();
        if (at_ < text_.size() && is_opening(text_[at_]))
            return skip_brackets();
        while (!is_at_end_of_scalar())
            ++at_;
        return true;
    }

    bool skip_brackets() {
        std::string open; // The brackets that are open. One that closes another kind is skipped.
        while (at_ < text_.size()) {
            const char c = text_[at_];
            if (c == '"') {
                if (!skip_string())
                    return false;
                continue;
            }
            ++at_;
            if (is_opening(c))
                open.push_back(c);
            else if (is_closing(c) && closes(open.back(), c))
                open.pop_back();
            if (open.empty())
                return true;
        }
        return false;
    }

    /** @return false if the string has no end */
    bool skip_string() {
        for (++at_; at_ < text_.size(); ++at_) {
            if (text_[at_] == '\\') {
                ++at_;
            } else if (text_[at_] == '"') {
                ++at_;
                return true;
            }
        }
        return false;
    }

    std::string_view text_; ///< the text
    std::size_t at_ = 0;    ///< the next character
};

/** @return the text between the quotes of a string. */
std::string_view unquoted(std::string_view text) {
    return text.size() < 2 ? std::string_view{} : text.substr(1, text.size() - 2);
}

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

std::optional<std::vector<json_slice_member>> members_of(std::string_view text) {
    scanner at{text};
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

std::optional<std::vector<std::string_view>> elements_of(std::string_view text) {
    scanner at{text};
    std::vector<std::string_view> elements;
    if (!at.take('['))
        return std::nullopt;
    if (at.take(']'))
        return at.is_at_end() ? std::optional{elements} : std::nullopt;
    do {
        const auto value = at.value();
        if (!value)
            return std::nullopt;
        elements.push_back(*value);
    } while (at.take(','));
    return at.take(']') && at.is_at_end() ? std::optional{std::move(elements)} : std::nullopt;
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
