/** @file retry_budget.h Limits hedges and retries in proportion to the needed requests. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/base/time_type.h"

namespace pollengrade {

/** Limits on the extra requests (hedges and retries) that one node may send to a service. */
struct retry_budget_limits {
    double ratio = 0;                           ///< extra requests for each needed request
    double slack = 0;                           ///< further extra requests in each window
    duration window = std::chrono::seconds{10}; ///< sliding window over which both are counted
};

/**
 * Counts needed and extra requests over a sliding window. In any interval of the window's length a node sends
 * at most ratio times its needed requests plus the slack, so all nodes together stay within the sum of their
 * limits.
 */
class retry_budget {
public:
    explicit retry_budget(retry_budget_limits limits) : limits_{limits} {}

    /** Changes the limits; requests counted so far stay counted. */
    void set_limits(retry_budget_limits limits) { limits_ = limits; }

    /** Counts one needed request. */
    void on_needed_request(time_point now);
    /** @return whether an extra request may be sent; if so, counts it as sent. */
    [[nodiscard]] bool try_take(time_point now);
    /** Gives back an extra request that was counted but not sent. */
    void give_back(time_point now);
    /** @return the number of extra requests that may be sent now. */
    [[nodiscard]] double left(time_point now);
    /** @return the same as a share of all that the window allows, 0 to 1. */
    [[nodiscard]] double share_left(time_point now);
    /** Records whether a retry succeeded. */
    void on_retry_ended(bool succeeded);
    /** @return share of retries that succeeded lately, 0 to 1. */
    [[nodiscard]] double success_rate() const noexcept { return success_rate_; }

private:
    static constexpr std::size_t slice_count = 20; ///< slices per window: the resolution of the counts

    struct slice {
        std::uint32_t needed = 0;
        std::uint32_t extra = 0;
    };

    slice& current(time_point now);

    retry_budget_limits limits_; ///< see set_limits()
    /** Ring buffer, one slice longer than the window. */
    std::array<slice, slice_count + 1> slices_{};
    std::int64_t latest_ = 0;  ///< number of the latest slice
    std::uint32_t needed_ = 0; ///< over all slices but the oldest
    std::uint32_t extra_ = 0;  ///< over all slices
    double success_rate_ = 1;  ///< see success_rate()
};

} // namespace pollengrade
