/** @file placement_func.h Selects the server of a replica set that is sent a request. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

namespace pollengrade {

/** Properties of a server that the selection uses. */
struct placement_candidate {
    bool is_ready = false;       ///< no known problem; otherwise the server is degraded
    bool is_trial_due = false;   ///< degraded, and a trial request may be sent
    bool is_local = false;       ///< in this node's failure domain
    std::uint32_t in_flight = 0; ///< this node's unanswered requests at the server
    std::uint32_t slots = 1;     ///< requests that the server runs at a time
    double slowness = 1;         ///< reply time relative to its peers; 1 is normal
};

/** Kind of attempt for which a server is selected. */
enum class placement_purpose : std::uint8_t {
    first,    ///< first attempt of a request: may be a trial
    no_trial, ///< first attempt that must not be a trial
    retry,    ///< attempt after a failure: any server is acceptable
    hedge,    ///< second attempt while the first still runs: only a ready server justifies the extra load
};

/** @return the name used in metrics. */
[[nodiscard]] std::string_view to_string(placement_purpose it);

/**
 * Selects a server for a request.
 *
 * Traffic between failure domains costs money, so a server of the local domain is preferred unless its reply
 * is expected to take twice as long as that of the best server of another domain. Within a domain the least
 * loaded server is preferred. Degraded servers are used only if there is no other, except for one trial at a
 * time.
 * @param candidates servers that could be sent the request now
 * @param purpose kind of attempt
 * @param random source of random numbers, so that nodes with the same view do not all select the same server
 * @return an index into @p candidates; nullopt if none is acceptable
 */
[[nodiscard]] std::optional<std::size_t> place(std::span<const placement_candidate> candidates,
                                               placement_purpose purpose,
                                               const std::function<std::uint64_t()>& random);

} // namespace pollengrade
