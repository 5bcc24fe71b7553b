/** @file member_type.h Basic types of cluster membership. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/base/id_type.h"
#include "core/config/node_knowledge.h"

namespace pollengrade {

inline constexpr std::size_t max_members = 4096;         ///< maximum number of other nodes known
inline constexpr std::size_t max_updates_per_gossip = 8; ///< bounds the size of a probe

/** State of a node; within one incarnation, a higher value replaces a lower one. */
enum class member_state : std::uint8_t {
    alive,   ///< answers probes
    suspect, ///< did not answer; may refute
    leaving, ///< is stopping gracefully
    dead,    ///< did not refute in time; may still refute with a higher incarnation
};

/** @return the name used in JSON. */
[[nodiscard]] std::string_view to_string(member_state it);

/**
 * Orders updates about a node. A restarted process has a later start and so is a new member; a process that
 * refutes a suspicion increments its refutations.
 */
struct member_incarnation {
    std::uint64_t start = 0;       ///< start time of the process, in milliseconds since the epoch
    std::uint32_t refutations = 0; ///< suspicions refuted since the start

    friend auto operator<=>(const member_incarnation&, const member_incarnation&) = default;
};

/** One node, as gossiped among nodes. */
struct member {
    node_address address;                     ///< address for peers
    node_address operators;                   ///< address of its status page
    std::string name;                         ///< its name in the event log
    failure_domain domain;                    ///< failure domain of its VM
    member_incarnation incarnation;           ///< orders updates about the node
    member_state state = member_state::alive; ///< its last known state
    std::uint32_t capacity = 0;               ///< of its VM, in thousandths of a core
};

/** @return whether @p a replaces @p b. */
[[nodiscard]] inline bool supersedes(const member& a, const member& b) {
    return std::tie(a.incarnation, a.state) > std::tie(b.incarnation, b.state);
}

/** Payload of a probe and of its reply; bounded in size. */
struct gossip_message {
    member sender;                ///< the sending node
    std::vector<member> updates;  ///< at most max_updates_per_gossip, and one about the receiver
    node_knowledge knowledge;     ///< of the sender
    bool config_complete = false; ///< whether the sender holds the complete configuration
};

} // namespace pollengrade
