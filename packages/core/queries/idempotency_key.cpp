/** @file idempotency_key.cpp Parsing of UUIDv7 keys. */
#include "core/queries/idempotency_key.h"

#include <cctype>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>

namespace pollengrade {

std::optional<wall_time> time_of_key(std::string_view text) {
    constexpr std::size_t uuid_length = 36;
    constexpr std::size_t version_index = 14;
    constexpr std::size_t variant_index = 19;
    constexpr std::size_t time_digits = 12;
    constexpr int base = 16;
    if (text.size() != uuid_length || text[version_index] != '7')
        return std::nullopt;
    if (std::string_view{"89abAB"}.find(text[variant_index]) == std::string_view::npos)
        return std::nullopt;
    std::string digits;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool hyphen = n == 8 || n == 13 || n == 18 || n == 23;
        if (hyphen ? text[n] != '-' : std::isxdigit(static_cast<unsigned char>(text[n])) == 0)
            return std::nullopt;
        if (!hyphen)
            digits += text[n];
    }
    std::int64_t milliseconds = 0;
    std::from_chars(digits.data(), digits.data() + time_digits, milliseconds, base);
    return wall_time{std::chrono::milliseconds{milliseconds}};
}

} // namespace pollengrade
