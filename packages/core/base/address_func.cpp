/** @file address_func.cpp Checks of addresses. */
#include "core/base/address_func.h"

#include <charconv>
#include <system_error>

namespace pollengrade {

namespace {

/** Reads a number of at most @p most off the front of @p text. */
bool take_number(std::string_view& text, unsigned most) {
    unsigned n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || n > most)
        return false;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return true;
}

bool take_char(std::string_view& text, char wanted) {
    if (!text.starts_with(wanted))
        return false;
    text.remove_prefix(1);
    return true;
}

} // namespace

bool is_address(std::string_view text) {
    constexpr unsigned max_octet = 255;
    constexpr unsigned max_port = 65535;
    for (const char separator : {'.', '.', '.', ':'}) {
        if (!take_number(text, max_octet) || !take_char(text, separator))
            return false;
    }
    return !text.starts_with('0') && take_number(text, max_port) && text.empty();
}

} // namespace pollengrade
