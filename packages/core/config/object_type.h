/** @file object_type.h Types of the platform's object store: objects, changes and errors. */
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/base/id_type.h"
#include "core/config/server_entry.h"

namespace pollengrade {

/** Kinds of objects that the project reads or writes. */
enum class object_kind : std::uint8_t {
    service_document, ///< the project's own: INI text of a service document
    shard_maps,       ///< the project's own: JSON text of a service's snapshots
    order_claim,      ///< the project's own: JSON text of an order's claim
    routes,           ///< the users' routes, in one object
    servers,          ///< registrations of servers, one object per server
};

/** Reasons why a call to the store failed. */
enum class store_error : std::uint8_t {
    conflict,     ///< the object has another version; nothing was changed
    absent,       ///< the object does not exist
    reply_lost,   ///< no reply was received; the call may have taken effect
    unavailable,  ///< the store refused the call or could not be reached; nothing was changed
    history_gone, ///< a watch starts at a revision whose history the store no longer keeps
    malformed,    ///< the reply or the object does not have the expected format
};

/** Content of an object that this project cannot decode, such as one of another writer. */
struct unreadable_object {};

/** Content of an object, decoded by kind: text (also of routes) or the registration of a server. */
using object_content = std::variant<unreadable_object, std::string, server_entry>;

/** One object. */
struct stored_object {
    std::string name;       ///< name, unique within its kind
    object_version version; ///< of its last change; routes: the number that their operator gave them
    object_content content; ///< decoded content
};

/** All objects of one kind at one revision. */
struct object_list {
    object_version revision;            ///< revision of the store at which the list was taken
    std::vector<stored_object> objects; ///< all objects of the kind
};

/** One change of one object. */
struct object_change {
    stored_object object; ///< the changed object, or its last state if it was removed
    bool removed = false; ///< whether the object was removed
};

/** Changes of the objects of one kind, in order. */
struct object_changes {
    object_version revision;            ///< revision of the store up to which the changes are complete
    std::vector<object_change> changes; ///< in order of revision
    std::size_t unidentified = 0;       ///< changes left out because name or revision cannot be read
};

/** @return the name used in logs and metrics. */
[[nodiscard]] std::string_view to_string(object_kind it);
[[nodiscard]] std::string_view to_string(store_error it);

} // namespace pollengrade
