/** @file placement_func.h Which server of a replica set is sent a request. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace pollengrade {

/** What the choice knows of a server. */
struct placement_candidate {
    bool is_ready = false;       ///< nothing speaks against it; else it is in doubt
    bool is_trial_due = false;   ///< in doubt, and one request may find out
    bool is_local = false;       ///< in this node's failure domain
    std::uint32_t in_flight = 0; ///< this node's requests there
    std::uint32_t slots = 1;     ///< requests it runs at a time
    double slowness = 1;         ///< relative to its peers
};

/** What a choice is for. */
enum class placement_purpose : std::uint8_t {
    first,    ///< the first try of a request: may be a trial
    no_trial, ///< a first try that must not be a trial
    retry,    ///< another try after a failure: any server will do
    hedge,    ///< a second try beside one that still runs: only a ready server is worth the load
};

/**
 * Picks a server for a request.
 *
 * Load it answers: bytes between failure domains are paid for, so a server of the own domain is taken as long
 * as its reply is not expected to take twice as long as the best of another domain; within a domain the least
 * loaded; servers in doubt only when there is no other, but for one trial at a time.
 * @param candidates servers that could be sent the request now
 * @param purpose what the request is
 * @param random random numbers, so that nodes with the same view do not move together
 * @return an index into @p candidates; nullopt when none is worth it
 */
[[nodiscard]] std::optional<std::size_t> place(std::span<const placement_candidate> candidates,
                                               placement_purpose purpose,
                                               const std::function<std::uint64_t()>& random);

} // namespace pollengrade
