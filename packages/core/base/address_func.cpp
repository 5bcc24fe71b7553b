/** @file address_func.cpp Validation of IPv4 socket addresses. */
#include "core/base/address_func.h"

#include <charconv>
#include <system_error>

namespace pollengrade {

namespace {

/**
 * Parses a decimal number of at most @p max at the start of @p text and removes it.
 * @return false, with @p text unchanged, if there is none
 */
bool consume_number(std::string_view& text, unsigned max) {
    unsigned n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || n > max)
        return false;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return true;
}

bool consume_char(std::string_view& text, char expected) {
    if (!text.starts_with(expected))
        return false;
    text.remove_prefix(1);
    return true;
}

} // namespace

bool is_address(std::string_view text) {
    constexpr unsigned max_octet = 255;
    constexpr unsigned max_port = 65535;
    for (const char separator : {'.', '.', '.', ':'}) {
        if (!consume_number(text, max_octet) || !consume_char(text, separator))
            return false;
    }
    return !text.starts_with('0') && consume_number(text, max_port) && text.empty();
}

} // namespace pollengrade
