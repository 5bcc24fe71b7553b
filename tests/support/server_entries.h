/** @file server_entries.h Server entries that tests put into the store. */
#pragma once

#include <cstdint>
#include <string>

#include "core/config/object_type.h"

namespace pollengrade {

/** @return a server entry of service "s". */
inline server_entry entry_of(const std::string& name, std::uint64_t version, std::int64_t started = 1) {
    server_entry it;
    it.name = name;
    it.started_ms = started;
    it.service = service_name{"s"};
    it.address = upstream_address{"127.9.0.1:9000"};
    it.version = object_version{version};
    return it;
}

/** @return the stored object of an entry. */
inline stored_object object_of(const server_entry& it) {
    return {it.name, it.version, it};
}

} // namespace pollengrade
