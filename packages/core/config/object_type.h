/** @file object_type.h Objects of the platform's store, and how a call to it fails. */
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/base/id_type.h"
#include "core/config/server_entry.h"

namespace pollengrade {

/** The kinds of objects that the project reads or writes. */
enum class object_kind : std::uint8_t {
    service_document, ///< ours: the INI text of a service document
    shard_maps,       ///< ours: the JSON text of a service's snapshots
    order_claim,      ///< ours: the JSON text of an order's claim
    routes,           ///< the users' routes, one object
    servers,          ///< what servers say of themselves, one object a server
};

/** How a call to the store failed. */
enum class store_error : std::uint8_t {
    conflict,     ///< the object is at another version; nothing was changed
    absent,       ///< there is no such object
    reply_lost,   ///< the call may have taken effect
    unavailable,  ///< the store refused or was not reached; nothing was changed
    history_gone, ///< a watch starts at a revision of which nothing is kept any more
    malformed,    ///< the reply or the object is not what it must be
};

/** Nothing that can be used: an object of another writer. */
struct unreadable_object {};

/** What an object holds, decoded by kind: our texts, routes as a text, or a server's entry. */
using object_content = std::variant<unreadable_object, std::string, server_entry>;

/** One object. */
struct stored_object {
    std::string name;       ///< within its kind
    object_version version; ///< the revision of its last change
    object_content content; ///< what it holds
};

/** All objects of one kind, as of one revision. */
struct object_list {
    object_version revision;            ///< the store's revision that the list is of
    std::vector<stored_object> objects; ///< all of them
};

/** One change of one object. */
struct object_change {
    stored_object object; ///< as it is now, or was last
    bool removed = false; ///< whether it is gone
};

/** What has changed in one kind, in order. */
struct object_changes {
    object_version revision;            ///< the store's revision up to which this is complete
    std::vector<object_change> changes; ///< in order of revision
};

/** @return the name used in logs and metrics. */
[[nodiscard]] std::string_view to_string(object_kind it);
[[nodiscard]] std::string_view to_string(store_error it);

} // namespace pollengrade
