/** @file member_type.h Light types of the membership of nodes. */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "core/base/id_type.h"

namespace pollengrade {

inline constexpr std::size_t max_members = 4096;           ///< most nodes known
inline constexpr std::size_t max_updates_per_greeting = 8; ///< bounds the size of a probe

/** What is held of a node; a higher value of one incarnation replaces a lower one. */
enum class member_state : std::uint8_t {
    alive,   ///< answers probes
    suspect, ///< did not answer; may refute
    leaving, ///< stops gracefully
    dead,    ///< given up on; may still refute by a higher incarnation
};

/** @return the name used in JSON. */
[[nodiscard]] std::string_view to_string(member_state it);

/**
 * Tells a node's word of itself from older word. A restarted process has a later start and so is a new
 * member; a process that refutes a suspicion raises its refutations.
 */
struct incarnation {
    std::uint64_t start = 0;       ///< milliseconds since the epoch at the process's start
    std::uint32_t refutations = 0; ///< suspicions refuted since

    friend auto operator<=>(const incarnation&, const incarnation&) = default;
};

/** One node, as spread among nodes. */
struct member {
    node_address address;                     ///< where peers reach it
    node_address operators;                   ///< where its status is
    std::string name;                         ///< its name on the time line
    failure_domain domain;                    ///< where its VM stands
    incarnation life;                         ///< which word of it this is
    member_state state = member_state::alive; ///< what is held of it
    std::uint32_t capacity = 0;               ///< of its VM: thousandths of a core
};

/** @return whether @p a replaces @p b. */
[[nodiscard]] inline bool is_later(const member& a, const member& b) {
    return std::tie(a.life, a.state) > std::tie(b.life, b.state);
}

/** What two nodes tell each other in a probe and its reply: constant in size. */
struct greeting {
    member sender;                   ///< who speaks
    std::vector<member> updates;     ///< news about others, at most max_updates_per_greeting
    std::uint64_t config_digest = 0; ///< of the sender's configuration
    bool config_complete = false;    ///< whether the sender holds all configuration
    object_version registry_changed; ///< the latest change of a server's entry that the sender knows
};

} // namespace pollengrade
