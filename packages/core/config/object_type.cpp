/** @file object_type.cpp Names of object kinds and store errors. */
#include "core/config/object_type.h"

#include <array>

namespace pollengrade {

std::string_view to_string(object_kind it) {
    constexpr std::array<std::string_view, 5> names{"service_document", "shard_maps", "order_claim", "routes",
                                                    "servers"};
    return names.at(static_cast<std::size_t>(it));
}

std::string_view to_string(store_error it) {
    constexpr std::array<std::string_view, 6> names{"conflict",    "absent",       "reply_lost",
                                                    "unavailable", "history_gone", "malformed"};
    return names.at(static_cast<std::size_t>(it));
}

} // namespace pollengrade
