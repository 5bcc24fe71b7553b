/** @file leaving_type.h How a node learned that a server is leaving. */
#pragma once

#include <cstdint>
#include <string_view>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** Where a node learned that a server is leaving. */
enum class leaving_source : std::uint8_t {
    entry,        ///< the server's entry in the registry
    removal,      ///< the entry was removed
    reply,        ///< the server's own reply
    wrong_server, ///< another server replied at the address
    other_node,   ///< another node, with a delegated query or its answer
};

/** @return the name used in logs. */
[[nodiscard]] std::string_view to_string(leaving_source it);

/** What a node learned when, for its log. */
struct leaving_report {
    leaving_source source = leaving_source::entry; ///< where it comes from
    request_id request{};                          ///< the request that was answered; empty for none
    duration age{};                                ///< time since the server stated it, as far as known
};

} // namespace pollengrade
