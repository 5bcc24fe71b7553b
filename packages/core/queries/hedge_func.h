/** @file hedge_func.h Delay before a hedged request is sent. */
#pragma once

#include <optional>

#include "core/base/time_type.h"

namespace pollengrade {

/** Inputs of the hedge delay. */
struct hedge_inputs {
    std::optional<duration> typical_reply; ///< nearly all replies arrive within it; nullopt if unknown
    std::optional<duration> target; ///< time until the answer loses most of its value; nullopt for none
    duration min_delay{0};          ///< lower bound of the delay
};

/**
 * Designed for servers that pause for several times the typical reply time, one shard in twenty at any
 * moment. A hedge before the typical reply time is wasted, and so is one whose own reply would miss the
 * target.
 * @return delay between the request and its hedge
 */
[[nodiscard]] duration hedge_delay(const hedge_inputs& it);

} // namespace pollengrade
