/** @file node_knowledge.h How current what a node knows is. */
#pragma once

#include <cstdint>
#include <optional>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** What a node knows and how current it is; what counts of it depends on what the receiver knows. */
struct node_knowledge {
    std::uint64_t config_digest = 0; ///< digest of the node's configuration
    object_version registry_changed; ///< the latest change of a server's entry that the node knows
    /** Age of the store's newest confirmation of what the node knows; nullopt if it has none. */
    std::optional<duration> confirmation_age;
};

} // namespace pollengrade
