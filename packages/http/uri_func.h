/** @file uri_func.h Decoding and escaping of request targets. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace pollengrade {

/** A request's target, decoded. */
struct decoded_target {
    std::string path;                         ///< percent-decoded
    std::map<std::string, std::string> query; ///< decoded parameters; the last value of a repeated name
};

/** @return the parts of a target such as "/path?name=value"; nullopt if its percent-encoding is invalid. */
[[nodiscard]] std::optional<decoded_target> decode_target(std::string_view target);

/** @return @p text percent-encoded for use in a query. */
[[nodiscard]] std::string escape_uri(std::string_view text);

/** @return the number in @p text; nullopt if it is not a plain decimal number. */
[[nodiscard]] std::optional<std::uint64_t> parse_natural(std::string_view text);

} // namespace pollengrade
