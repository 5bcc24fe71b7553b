/** @file settings_type.h Light types of INI settings: positions, errors. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pollengrade {

/** What is wrong with a settings file or a service document. */
enum class settings_error_code : std::uint8_t {
    syntax,        ///< not INI
    duplicate,     ///< a group or key stands twice
    unknown_group, ///< no such group
    unknown_key,   ///< no such key in its group
    missing_key,   ///< a key without default is absent
    not_a_number,  ///< a number was expected
    not_a_choice,  ///< one of a fixed set of words was expected
    out_of_range,  ///< outside of the documented range
    too_long,      ///< the text is over the size limit
    inconsistent,  ///< two keys contradict each other
};

/** One error in a settings text, with its place. */
struct settings_error {
    settings_error_code code = settings_error_code::syntax; ///< what is wrong
    std::string group;                                      ///< the group, empty when outside of any
    std::string key;                                        ///< the key, empty when the group is meant
    unsigned long line = 0;                                 ///< 1-based; 0 for a key that is absent
    std::string detail;                                     ///< what was expected
};

/** @return the name of @p it as it appears in messages. */
[[nodiscard]] std::string_view to_string(settings_error_code it);

/** @return "line 4: [limits] slots: out_of_range: 1 to 1000". */
[[nodiscard]] std::string describe(const settings_error& it);

} // namespace pollengrade
