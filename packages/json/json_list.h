/** @file json_list.h Reads a list of objects some of which may not be JSON: these hide no other. */
#pragma once

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "json/json_slice.h"

namespace pollengrade {

/** An object one of whose members is a list of objects, as replies with many objects are. */
struct json_list {
    std::vector<json_slice_member> members; ///< the other members
    std::vector<std::string_view> elements; ///< the list's elements as written; some may not be JSON
};

/** @return whether a JSON text is an element of the list. */
using json_element_test = std::function<bool(std::string_view)>;

/**
 * Reads an object with a list. If an element is not JSON, its end cannot be known. It is taken to reach up to
 * the next text that is_element accepts as an element, or up to the end of the list.
 * @param text the object, with the list as its member @p name
 * @param is_element called for texts after an element that is not JSON
 * @return the parts, as views of @p text; nullopt if there is no such list, or anything but its elements is
 * not JSON, or an element's end is not found
 */
[[nodiscard]] std::optional<json_list> read_list(std::string_view text, std::string_view name,
                                                 const json_element_test& is_element);

/** @return the members of an object up to the first whose value is not JSON; of that one, the value reaches
 * up to the end of the text. Empty if the text is no object. */
[[nodiscard]] std::vector<json_slice_member> leading_members_of(std::string_view text);

} // namespace pollengrade
