/** @file config_store.h Every configuration object that a node knows, each at the latest version seen. */
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

/** The kinds of configuration. */
enum class config_kind : std::uint8_t {
    service_document, ///< the INI text of a service document
    shard_maps,       ///< the JSON text of a service's snapshots
    routes,           ///< the JSON text of the users' routes
};

/** Names one configuration object. */
struct config_key {
    config_kind kind = config_kind::service_document; ///< what it is
    std::string name;                                 ///< the service, or the routes' name

    friend auto operator<=>(const config_key&, const config_key&) = default;
};

/** One configuration object as the platform accepted it. */
struct config_entry {
    config_key key;         ///< its name
    object_version version; ///< the platform's version
    std::string text;       ///< its content
};

/** What became of an offered object. */
enum class offer_result : std::uint8_t {
    accepted, ///< later than what was known: known and in force now
    stale,    ///< not later: nothing changed
    rejected, ///< later, but its text is wrong: known, and the one in force stays
};

/**
 * Keeps the latest version of each object. The platform's versions give the one order that all nodes share,
 * so a node that never goes back to a lower version never reverts. Modelled in models/config.pml.
 */
class config_store {
public:
    /** Puts an object in force. @return false when its text is wrong */
    using apply_hook = std::function<bool(const config_entry&)>;

    explicit config_store(apply_hook apply) : apply_{std::move(apply)} {}

    /** Takes an object, from wherever it came. */
    offer_result offer(const config_entry& entry);

    /** @return all objects, by key. */
    [[nodiscard]] const std::map<config_key, config_entry>& entries() const noexcept { return entries_; }
    /** @return the version known of an object; 0 when it is unknown. */
    [[nodiscard]] object_version version_of(const config_key& key) const;
    /** @return a hash over all keys and versions: equal stores have equal digests. */
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

private:
    apply_hook apply_;                           ///< puts an object in force
    std::map<config_key, config_entry> entries_; ///< the latest of each
    std::uint64_t digest_ = 0;                   ///< exclusive or over the entries' hashes
};

} // namespace pollengrade
