/** @file json_scanner.cpp The grammar of RFC 8259, with a list of open brackets in place of recursion. */
#include "json/json_scanner.h"

namespace pollengrade {

namespace {

bool is_space(char c) {
    return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

bool is_hex_digit(char c) {
    return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

bool is_control(char c) {
    return static_cast<unsigned char>(c) < ' ';
}

} // namespace

bool json_scanner::take(char expected) {
    skip_space();
    return take_next(expected);
}

std::optional<std::string_view> json_scanner::value() {
    skip_space();
    const std::size_t from = at_;
    if (!read_values())
        return std::nullopt;
    return text_.substr(from, at_ - from);
}

bool json_scanner::is_at_end() {
    skip_space();
    return at_ >= text_.size();
}

void json_scanner::skip_space() {
    while (is_space(next()))
        ++at_;
}

bool json_scanner::take_next(char expected) {
    if (at_ >= text_.size() || text_[at_] != expected)
        return false;
    ++at_;
    return true;
}

bool json_scanner::read_values() {
    open_.clear();
    progress it = progress::value_follows;
    while (it == progress::value_follows) {
        it = begin_value();
        if (it == progress::ended)
            it = end_values();
    }
    return it == progress::ended;
}

json_scanner::progress json_scanner::begin_value() {
    skip_space();
    ++value_count_;
    switch (next()) {
    case '[':
        return begin_array();
    case '{':
        return begin_object();
    case '"':
        return read_string() ? progress::ended : progress::malformed;
    case 't':
        return read_word("true") ? progress::ended : progress::malformed;
    case 'f':
        return read_word("false") ? progress::ended : progress::malformed;
    case 'n':
        return read_word("null") ? progress::ended : progress::malformed;
    default:
        return read_number() ? progress::ended : progress::malformed;
    }
}

json_scanner::progress json_scanner::begin_array() {
    if (!open('['))
        return progress::malformed;
    if (!take(']'))
        return progress::value_follows;
    open_.pop_back();
    return progress::ended;
}

json_scanner::progress json_scanner::begin_object() {
    if (!open('{'))
        return progress::malformed;
    if (!take('}'))
        return read_name();
    open_.pop_back();
    return progress::ended;
}

bool json_scanner::open(char bracket) {
    if (open_.size() >= max_depth_)
        return false;
    ++at_;
    open_.push_back(bracket);
    return true;
}

json_scanner::progress json_scanner::end_values() {
    while (!open_.empty()) {
        const bool is_object = open_.back() == '{';
        if (take(','))
            return is_object ? read_name() : progress::value_follows;
        if (!take(is_object ? '}' : ']'))
            return progress::malformed;
        open_.pop_back();
    }
    return progress::ended;
}

json_scanner::progress json_scanner::read_name() {
    skip_space();
    return next() == '"' && read_string() && take(':') ? progress::value_follows : progress::malformed;
}

bool json_scanner::read_string() {
    ++at_;
    while (at_ < text_.size() && !is_control(text_[at_])) {
        if (take_next('"'))
            return true;
        if (take_next('\\')) {
            if (!read_escape())
                return false;
        } else {
            ++at_;
        }
    }
    return false;
}

bool json_scanner::read_escape() {
    constexpr std::string_view single_characters = "\"\\/bfnrt";
    constexpr int hex_digits = 4;
    if (at_ < text_.size() && single_characters.find(text_[at_]) != std::string_view::npos) {
        ++at_;
        return true;
    }
    if (!take_next('u'))
        return false;
    for (int n = 0; n < hex_digits; ++n) {
        if (!is_hex_digit(next()))
            return false;
        ++at_;
    }
    return true;
}

bool json_scanner::read_word(std::string_view word) {
    if (!text_.substr(at_).starts_with(word))
        return false;
    at_ += word.size();
    return true;
}

bool json_scanner::read_number() {
    take_next('-');
    if (!take_next('0') && !read_digits())
        return false;
    if (take_next('.') && !read_digits())
        return false;
    if (!take_next('e') && !take_next('E'))
        return true;
    if (!take_next('+'))
        take_next('-');
    return read_digits();
}

bool json_scanner::read_digits() {
    const std::size_t from = at_;
    while (is_digit(next()))
        ++at_;
    return at_ > from;
}

} // namespace pollengrade
