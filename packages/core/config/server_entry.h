/** @file server_entry.h What a server says of itself in the platform's store. */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** One server. */
struct server_entry {
    std::string name;                ///< its name; a later start may have the same
    std::int64_t started_ms = 0;     ///< milliseconds since the epoch at its start, by its own clock
    service_name service;            ///< which service it is of
    upstream_address address;        ///< where it listens
    failure_domain domain;           ///< where its VM stands
    std::uint32_t slots = 1;         ///< requests that it runs at a time
    bool is_leaving = false;         ///< whether it is about to stop
    std::int64_t warmup_left_ms = 0; ///< how much longer it is slow after its start
    object_version version;          ///< the revision of the entry

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

/** In which failure domains each service has servers, and how many. */
using servers_by_domain = std::map<service_name, std::map<failure_domain, std::uint32_t>>;

/** @return what names this life of the server. */
[[nodiscard]] inline upstream_id id_of(const server_entry& it) {
    return upstream_id{it.name + "@" + std::to_string(it.started_ms)};
}

} // namespace pollengrade
