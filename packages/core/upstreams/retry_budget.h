/** @file retry_budget.h The bound on hedges and retries, in proportion to the requests needed. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/base/time_type.h"

namespace pollengrade {

/** How many requests beyond those needed one node may send to a service. */
struct retry_budget_limits {
    double ratio = 0;                           ///< extra requests for each needed one
    double slack = 0;                           ///< extra requests in a window besides
    duration window = std::chrono::seconds{10}; ///< over which both are counted
};

/**
 * Counts needed and extra requests over a sliding window. In any span of the window's length a node sends at
 * most ratio times its needed requests plus the slack; so the nodes together keep the sum of their bounds.
 */
class retry_budget {
public:
    explicit retry_budget(retry_budget_limits limits) : limits_{limits} {}

    /** Changes the bounds; what has been counted stays. */
    void set_limits(retry_budget_limits limits) { limits_ = limits; }

    /** Notes one request that was needed. */
    void on_needed_request(time_point now);
    /** @return whether an extra request may be sent; counts it as sent. */
    [[nodiscard]] bool try_take(time_point now);
    /** Gives back an extra request that was not sent after all. */
    void give_back(time_point now);
    /** @return extra requests that may be sent now. */
    [[nodiscard]] double left(time_point now);

private:
    static constexpr std::size_t slice_count = 20; ///< the window's resolution

    struct slice {
        std::uint32_t needed = 0;
        std::uint32_t extra = 0;
    };

    slice& current(time_point now);

    retry_budget_limits limits_;                  ///< the bounds
    std::array<slice, slice_count + 1> slices_{}; ///< one more than the window: the oldest is cut off late
    std::int64_t latest_ = 0;                     ///< number of the slice last counted in
    std::uint32_t needed_ = 0;                    ///< over all slices but the oldest
    std::uint32_t extra_ = 0;                     ///< over all slices
};

} // namespace pollengrade
