/** @file id_type.h Identifier types that several modules share. */
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "core/base/strong_type.h"

namespace pollengrade {

using service_name = strong_type<struct service_tag, std::string>;          ///< a service
using request_id = strong_type<struct request_tag, std::string>;            ///< a caller's request
using upstream_id = strong_type<struct upstream_id_tag, std::string>;       ///< one incarnation of a server
using upstream_address = strong_type<struct upstream_tag, std::string>;     ///< "IPv4:port" of a server
using node_address = strong_type<struct node_tag, std::string>;             ///< "IPv4:port" of a node
using failure_domain = strong_type<struct failure_domain_tag, std::string>; ///< failure domain of a VM
using shard_id = strong_type<struct shard_tag, std::uint32_t>;              ///< a shard within a shard map
using index_version = strong_type<struct index_version_tag, std::uint64_t>; ///< one snapshot of an index
using attempt_id = strong_type<struct attempt_tag, std::uint64_t>;          ///< one attempt at one server
using timer_id = strong_type<struct timer_tag, std::uint64_t>;              ///< a scheduled callback
using replica_set_name = strong_type<struct replica_set_tag, std::string>;  ///< interchangeable servers
using work_class = strong_type<struct work_class_tag, std::string>;         ///< requests of similar cost

/**
 * Orders the changes of the platform's objects. The store counts revisions; if it comes back from a copy, it
 * gives out again the revisions that the copy lacks, in a later era. A version of a later era is newer,
 * whatever its number.
 */
class object_version {
public:
    constexpr object_version() = default;
    /**
     * @param number the store's revision, or the writer's own number if the object carries one
     * @param era how often the store had come back from a copy; 0 if that is not known
     */
    constexpr explicit object_version(std::uint64_t number, std::uint64_t era = 0)
        : era_{era}, number_{number} {}

    [[nodiscard]] constexpr std::uint64_t value() const noexcept { return number_; }
    [[nodiscard]] constexpr std::uint64_t era() const noexcept { return era_; }

    friend constexpr auto operator<=>(const object_version&, const object_version&) = default;

private:
    std::uint64_t era_ = 0;    ///< see era(); compared first
    std::uint64_t number_ = 0; ///< see value()
};

} // namespace pollengrade
