/** @file config_store.cpp Accepts only newer versions of configuration objects. */
#include "core/config/config_store.h"

#include <xxhash.h>

namespace pollengrade {

namespace {

std::uint64_t hash_of(const config_key& key, object_version version) {
    const std::string text = std::to_string(static_cast<unsigned>(key.kind)) + '\0' + key.name + '\0' +
                             std::to_string(version.value()) + '\0' + std::to_string(version.era());
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

object_version config_store::version_of(const config_key& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? object_version{} : it->second.version;
}

offer_result config_store::offer(const config_entry& entry) {
    const object_version known = version_of(entry.key);
    if (entry.version <= known)
        return offer_result::stale;
    if (known != object_version{})
        digest_ ^= hash_of(entry.key, known);
    digest_ ^= hash_of(entry.key, entry.version);
    entries_[entry.key] = entry;
    return apply_(entry) ? offer_result::accepted : offer_result::rejected;
}

} // namespace pollengrade
