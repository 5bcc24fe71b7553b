/** @file upstream_health.h Health of one server, derived from the results of this node's requests to it. */
#pragma once

#include <cstdint>

#include "core/base/time_type.h"

namespace pollengrade {

/**
 * Health of one server as observed by this node's own requests: speed relative to its peers, failures, load
 * shedding and failed connections. A slow or failing server is sent one trial request at a time, at growing
 * intervals, until its replies clear it.
 */
class upstream_health {
public:
    /** @return smoothed reply time relative to the median for the same kind of work; 1 is the median. */
    [[nodiscard]] double slowness() const noexcept { return slowness_; }
    /** @return whether its replies are so slow that other servers are preferred. */
    [[nodiscard]] bool is_slow() const noexcept { return slow_; }
    /** @return whether it fails so often that other servers are preferred. */
    [[nodiscard]] bool is_failing() const noexcept { return failing_; }
    /** @return whether the backoff after its last refusal for load still runs at @p now. */
    [[nodiscard]] bool is_shedding(time_point now) const noexcept { return now < shedding_until_; }
    /** @return whether the server is slow, failing or shedding load, so that others are preferred. */
    [[nodiscard]] bool is_degraded(time_point now) const noexcept {
        return slow_ || failing_ || is_shedding(now);
    }
    /** @return whether the interval before the next trial request has passed. */
    [[nodiscard]] bool is_trial_due(time_point now) const noexcept { return now >= next_trial_; }
    /** @return whether the last attempt to connect failed. */
    [[nodiscard]] bool is_unreachable() const noexcept { return unreachable_; }
    /** @return the earliest time at which the next connection may be opened. */
    [[nodiscard]] time_point connect_after() const noexcept { return connect_after_; }

    /**
     * Records a good reply.
     * @param sent when the request was sent
     * @param took from sending to the reply's last byte
     * @param median_latency median reply time of the same kind of work; zero if unknown
     */
    void on_reply(time_point now, time_point sent, duration took, duration median_latency);
    /** Records a request that failed at the server, or an unusable reply. */
    void on_failure(time_point now);
    /** Records a refusal for load. @param retry_after the backoff the server asked for; zero for none */
    void on_shed(time_point now, duration retry_after);
    /** Records that a trial request is sent. */
    void on_trial(time_point now);
    /** Records an established connection. @return whether the server was unreachable before */
    bool on_connected();
    /** Records a failed connection attempt. @return whether the server was reachable before */
    bool on_connect_failed(time_point now);

private:
    void note_slowness(time_point now, double ratio);
    void enter_degraded(time_point now);

    double slowness_ = 1;               ///< see slowness()
    double failure_rate_ = 0;           ///< smoothed share of failed requests, 0 to 1
    bool slow_ = false;                 ///< see is_slow()
    bool failing_ = false;              ///< see is_failing()
    std::uint32_t failures_in_row_ = 0; ///< since the last good reply
    time_point last_slow_reply_{};      ///< requests sent before it were held up by the same delay
    time_point shedding_until_{};       ///< see is_shedding()
    std::uint32_t sheds_in_row_ = 0;    ///< since the last good reply
    time_point next_trial_{};           ///< see is_trial_due()
    std::uint32_t trials_in_row_ = 0;   ///< trials since the server became slow or failing
    bool unreachable_ = false;          ///< see is_unreachable()
    std::uint32_t failed_connects_ = 0; ///< since the last good reply
    time_point connect_after_{};        ///< see connect_after()
};

} // namespace pollengrade
