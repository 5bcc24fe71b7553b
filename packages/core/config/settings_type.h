/** @file settings_type.h Errors in INI settings, with their positions. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pollengrade {

/** Kinds of errors in a settings file or a service document. */
enum class settings_error_code : std::uint8_t {
    syntax,        ///< the text is not valid INI
    duplicate,     ///< a group or key occurs more than once
    unknown_group, ///< the group is not defined
    unknown_key,   ///< the key is not defined in its group
    missing_key,   ///< a required key is absent
    not_a_number,  ///< the value is not a number
    not_a_choice,  ///< the value is not one of the allowed values, or not of the required format
    out_of_range,  ///< the value or its length is outside of the documented range
    too_long,      ///< the whole text exceeds the size limit
    inconsistent,  ///< two keys contradict each other
};

/** One error in a settings text, with its position. */
struct settings_error {
    settings_error_code code = settings_error_code::syntax; ///< kind of the error
    std::string group;                                      ///< group of the key; empty if there is none
    std::string key;        ///< key; empty if the error concerns the group or the whole text
    unsigned long line = 0; ///< line number from 1; 0 if the error has none
    std::string detail;     ///< what was expected, or the parser's message
};

/** @return the name of @p it in messages. */
[[nodiscard]] std::string_view to_string(settings_error_code it);

/** @return a message such as "line 4: [limits] slots: out_of_range: 1 to 1000". */
[[nodiscard]] std::string describe(const settings_error& it);

} // namespace pollengrade
