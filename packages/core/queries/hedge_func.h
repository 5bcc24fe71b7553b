/** @file hedge_func.h When a second server is asked beside one that has not replied. */
#pragma once

#include <optional>

#include "core/base/time_type.h"

namespace pollengrade {

/** What the time of a hedge depends on. */
struct hedge_inputs {
    std::optional<duration>
        typical_reply;              ///< time within which nearly all replies come; nullopt when not known yet
    std::optional<duration> target; ///< from now to when the answer loses most of its worth; nullopt for none
    duration min_delay{0};          ///< never earlier
};

/**
 * Load it answers: servers that pause for several times a reply's usual time, one shard in twenty at any
 * moment. A hedge before the usual time is wasted; one so late that its own reply misses the target is, too.
 * @return the time from sending to the hedge
 */
[[nodiscard]] duration hedge_delay(const hedge_inputs& it);

} // namespace pollengrade
