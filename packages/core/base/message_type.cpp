/** @file message_type.cpp Status codes and lookup of header fields. */
#include "core/base/message_type.h"

#include <algorithm>

namespace pollengrade {

namespace {

// RFC 9110, section 15.
constexpr unsigned min_status = 100;
constexpr unsigned min_final_status = 200;
constexpr unsigned max_success_status = 299;
constexpr unsigned min_server_error_status = 500;
constexpr unsigned max_status = 599;

char to_lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool is_valid_status(unsigned status) {
    return status >= min_status && status <= max_status;
}

bool is_final_status(unsigned status) {
    return is_valid_status(status) && status >= min_final_status;
}

bool is_success_status(unsigned status) {
    return status >= min_final_status && status <= max_success_status;
}

bool is_server_error_status(unsigned status) {
    return status >= min_server_error_status;
}

bool is_same_name(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return to_lower(x) == to_lower(y); });
}

const message_field* find_field(const message_fields& fields, std::string_view name) {
    const auto it = std::find_if(fields.begin(), fields.end(), [name](const message_field& field) {
        return is_same_name(field.name, name);
    });
    return it == fields.end() ? nullptr : &*it;
}

std::string_view value_of(const message_fields& fields, std::string_view name) {
    const message_field* it = find_field(fields, name);
    return it == nullptr ? std::string_view{} : std::string_view{it->value};
}

} // namespace pollengrade
