/** @file part_func.cpp Computes replies by hashing the request and the service. */
#include "part_func.h"

#include <array>
#include <cstdint>
#include <cstdio>

#include <xxhash.h>

namespace pollengrade {

std::string part_of(std::string_view request, std::string_view service) {
    constexpr int records = 4;
    constexpr std::size_t hex_digits = 16;
    std::string body;
    for (int n = 0; n < records; ++n) {
        const std::string text = std::string{request} + '/' + std::string{service} + '/' + std::to_string(n);
        std::array<char, hex_digits + 1> buf{};
        std::snprintf(buf.data(), buf.size(), "%016llx", // NOLINT(*-vararg): fixed number of digits
                      static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
        body.append(buf.data(), hex_digits);
    }
    return body + "rest";
}

std::string signature_of(std::string_view request, std::string_view service, std::string_view server) {
    return std::string{request} + "." + std::string{service} + "." + std::string{server};
}

} // namespace pollengrade
