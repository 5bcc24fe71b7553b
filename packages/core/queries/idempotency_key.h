/** @file idempotency_key.h The caller's key that names one order: a UUIDv7, which carries its own age. */
#pragma once

#include <optional>
#include <string_view>

#include "core/base/time_type.h"

namespace pollengrade {

/** A key older than this is refused: its claim may have been removed (docs/operators/running.md), so a replay
 * could not be told. */
inline constexpr std::chrono::hours max_key_age{24};
/** A key from further in the future than this is refused. */
inline constexpr std::chrono::minutes max_key_skew{5};

/**
 * Reads the time in a UUIDv7.
 * @param text 36 characters, lower or upper case
 * @return when the key was made; nullopt when it is not a UUIDv7
 * @see RFC 9562, section 5.7
 */
[[nodiscard]] std::optional<wall_time> time_of_key(std::string_view text);

} // namespace pollengrade
