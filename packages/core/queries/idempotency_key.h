/** @file idempotency_key.h The caller's key that identifies one order: a UUIDv7, which contains its creation
 * time. */
#pragma once

#include <optional>
#include <string_view>

#include "core/base/time_type.h"

namespace pollengrade {

/** Keys older than this are refused: their claims may have been removed (docs/operators/running.md), so a
 * replay could not be detected. */
inline constexpr std::chrono::hours max_key_age{24};
/** Keys from further in the future than this are refused. */
inline constexpr std::chrono::minutes max_key_skew{5};

/**
 * Reads the timestamp of a UUIDv7.
 * @param text 36 characters in lower or upper case
 * @return creation time of the key; nullopt if the text is not a UUIDv7
 * @see RFC 9562, section 5.7
 */
[[nodiscard]] std::optional<wall_time> time_of_key(std::string_view text);

} // namespace pollengrade
