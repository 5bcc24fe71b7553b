/** @file id_type.h The identifiers that name things across modules. */
#pragma once

#include <cstdint>
#include <string>

#include "core/base/strong_type.h"

namespace pollengrade {

using service_name = strong_type<struct service_tag, std::string>;            ///< one service
using request_id = strong_type<struct request_tag, std::string>;              ///< one caller's request
using upstream_id = strong_type<struct upstream_id_tag, std::string>;         ///< one life of one server
using upstream_address = strong_type<struct upstream_tag, std::string>;       ///< "IPv4:port" of a server
using node_address = strong_type<struct node_tag, std::string>;               ///< "IPv4:port" of a node
using failure_domain = strong_type<struct failure_domain_tag, std::string>;   ///< where a VM stands
using shard_id = strong_type<struct shard_tag, std::uint32_t>;                ///< a shard within a shard map
using index_version = strong_type<struct index_version_tag, std::uint64_t>;   ///< one snapshot of an index
using object_version = strong_type<struct object_version_tag, std::uint64_t>; ///< the platform's version
using attempt_id = strong_type<struct attempt_tag, std::uint64_t>;            ///< one request to one server
using timer_id = strong_type<struct timer_tag, std::uint64_t>;                ///< one scheduled callback
using replica_set_name = strong_type<struct replica_set_tag, std::string>;    ///< servers that serve alike
using work_class = strong_type<struct work_class_tag, std::string>;           ///< requests of like cost

} // namespace pollengrade
