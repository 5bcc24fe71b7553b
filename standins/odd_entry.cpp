/** @file odd_entry.cpp Comments, quotes and brackets around deep nesting. */
#include "odd_entry.h"

#include <array>
#include <string_view>

namespace pollengrade {

std::string odd_entry(std::size_t kind) {
    constexpr std::size_t depth = 200'000;
    constexpr std::array<std::string_view, odd_entries> before{
        "/* \" */", "/* \" */ /* \" */", "/* ' */", "// \"\n", "/* ] */",
        "/* }, */", "'\"':1,",           "'\",",    "'",       "\"",
        "]}",       ",{\"meta\":"};
    const std::string_view odd = before.at(kind % odd_entries);
    std::string text{"{"};
    text += odd;
    text += "\"notes\":" + std::string(depth, '[') + std::string(depth, ']');
    if (kind / odd_entries % 2 == 1)
        text += odd;
    return text + "}";
}

} // namespace pollengrade
