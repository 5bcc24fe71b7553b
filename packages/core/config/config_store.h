/** @file config_store.h Stores the latest version of each configuration object that a node has seen. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "core/base/id_type.h"

namespace pollengrade {

/** Kinds of configuration objects. */
enum class config_kind : std::uint8_t {
    service_document, ///< INI text of a service document
    shard_maps,       ///< JSON text of a service's snapshots
    routes,           ///< JSON text of the users' routes
};

/** Identifies one configuration object. */
struct config_key {
    config_kind kind = config_kind::service_document; ///< kind of the object
    std::string name;                                 ///< name of the service or of the routes

    friend auto operator<=>(const config_key&, const config_key&) = default;
};

/** One configuration object as the platform accepted it. */
struct config_entry {
    config_key key;         ///< identifies the object
    object_version version; ///< of its last write; no store that came back from a copy gives it out again
    std::string text;       ///< content of the object
};

/** Result of config_store::offer(). */
enum class offer_result : std::uint8_t {
    accepted, ///< newer than the stored version: stored and put in force
    stale,    ///< not newer: nothing changed
    rejected, ///< newer but invalid: stored, while the previous object stays in force
};

/**
 * Keeps the latest version of each object. The versions order the writes in the same way for all nodes,
 * also across a restore of the platform's store from a copy, so a node that ignores lower versions never
 * reverts to an older object. Modelled in models/config.pml.
 */
class config_store {
public:
    /** Puts an object in force. @return false if its text is invalid */
    using apply_hook = std::function<bool(const config_entry&)>;

    explicit config_store(apply_hook apply) : apply_{std::move(apply)} {}

    /** Stores an object, from any source, and puts it in force if it is newer than the stored version. */
    offer_result offer(const config_entry& entry);

    /** @return all objects, by key. */
    [[nodiscard]] const std::map<config_key, config_entry>& entries() const noexcept { return entries_; }
    /** @return the stored version of an object; 0 if there is none. */
    [[nodiscard]] object_version version_of(const config_key& key) const;
    /** @return a hash over all keys and versions; equal stores have equal digests. */
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

private:
    apply_hook apply_;                           ///< puts an object in force
    std::map<config_key, config_entry> entries_; ///< latest version of each object
    std::uint64_t digest_ = 0;                   ///< exclusive or of the hashes of all entries
};

} // namespace pollengrade
