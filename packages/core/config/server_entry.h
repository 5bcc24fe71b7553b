/** @file server_entry.h Registration of a server in the platform's store. */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** Registration of one server, as the server wrote it. */
struct server_entry {
    std::string name;                ///< name of the server; may be the same after a restart
    std::int64_t started_ms = 0;     ///< start time in Unix milliseconds, by the server's own clock
    service_name service;            ///< service that it belongs to
    upstream_address address;        ///< address on which it listens
    failure_domain domain;           ///< failure domain of its VM
    std::uint32_t slots = 1;         ///< requests that it runs concurrently
    bool is_leaving = false;         ///< whether it is about to stop
    std::int64_t warmup_left_ms = 0; ///< time left of its slow start (warm-up)
    object_version version;          ///< revision of the registration

    friend bool operator==(const server_entry&, const server_entry&) = default;
};

/** Number of servers of each service in each failure domain. */
using servers_by_domain = std::map<service_name, std::map<failure_domain, std::uint32_t>>;

/** @return an id that is unique to this start of the server. */
[[nodiscard]] inline upstream_id id_of(const server_entry& it) {
    return upstream_id{it.name + "@" + std::to_string(it.started_ms)};
}

} // namespace pollengrade
