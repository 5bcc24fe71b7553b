/** @file uri_func.h Paths and queries of requests. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pollengrade {

/** A request's target, decoded. */
struct decoded_target {
    std::string path;                         ///< without escapes
    std::map<std::string, std::string> query; ///< without escapes; the last of equal names
};

/** @return the parts of a target such as "/path?name=value"; nullopt when its escapes are wrong. */
[[nodiscard]] std::optional<decoded_target> decode_target(std::string_view target);

/** @return @p text as it may stand in a query. */
[[nodiscard]] std::string escape_uri(std::string_view text);

/** @return the number in @p text; nullopt when it is not a plain decimal number. */
[[nodiscard]] std::optional<std::uint64_t> parse_natural(std::string_view text);

} // namespace pollengrade
