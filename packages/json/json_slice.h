/** @file json_slice.h Finds the parts of a JSON text without parsing them: one that the parser rejects, as it
 * is nested too deeply or has too many values, then hides no other. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pollengrade {

/** One member of an object, as written. */
struct json_slice_member {
    std::string_view name;  ///< its name, with escapes as written
    std::string_view value; ///< the text of its value
};

/**
 * @return the members of an object, as views of @p text; nullopt if it is no object or not JSON
 */
[[nodiscard]] std::optional<std::vector<json_slice_member>> members_of(std::string_view text);
/** @return the text between the quotes of a string. */
[[nodiscard]] std::string_view unquoted(std::string_view text);
/** @return the text of a member's value; nullopt if there is no such member. */
[[nodiscard]] std::optional<std::string_view> value_of(const std::vector<json_slice_member>& members,
                                                       std::string_view name);
/** @return the text with U+FFFD for each escape of half a UTF-16 pair, which the parser rejects. */
[[nodiscard]] std::string with_whole_surrogates(std::string_view text);

} // namespace pollengrade
