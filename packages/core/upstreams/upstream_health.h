/** @file upstream_health.h What a server's replies, failures and refusals say about sending it more. */
#pragma once

#include <cstdint>

#include "core/base/time_type.h"

namespace pollengrade {

/**
 * Health of one server as this node's own requests show it: speed relative to its peers, failures, refusals
 * for load, refused connections. A server in doubt is tried with one request at a time, at growing intervals,
 * until its replies clear it.
 */
class upstream_health {
public:
    /** @return how long its replies take, relative to what is usual for the same work; 1 is usual. */
    [[nodiscard]] double slowness() const noexcept { return slowness_; }
    /** @return whether its replies take so long that others are asked first. */
    [[nodiscard]] bool is_slow() const noexcept { return slow_; }
    /** @return whether it fails too often to be asked first. */
    [[nodiscard]] bool is_failing() const noexcept { return failing_; }
    /** @return whether it refuses for load at @p now. */
    [[nodiscard]] bool is_shedding(time_point now) const noexcept { return now < shedding_until_; }
    /** @return whether any of these keeps it from being asked first. */
    [[nodiscard]] bool is_degraded(time_point now) const noexcept {
        return slow_ || failing_ || is_shedding(now);
    }
    /** @return whether a server in doubt may be sent one request to find out. */
    [[nodiscard]] bool is_trial_due(time_point now) const noexcept { return now >= next_trial_; }
    /** @return whether the last connection failed. */
    [[nodiscard]] bool is_unreachable() const noexcept { return unreachable_; }
    /** @return when the next connection may be opened. */
    [[nodiscard]] time_point connect_after() const noexcept { return connect_after_; }

    /**
     * Notes a good reply.
     * @param sent when the request was sent
     * @param took from sending to the reply's last byte
     * @param usual what the same work usually takes; zero when not known
     */
    void on_reply(time_point now, time_point sent, duration took, duration usual);
    /** Notes an exchange that failed at the server, or a reply that is of no use. */
    void on_failure(time_point now);
    /** Notes a refusal for load. @param retry_after what the server asked for; zero when it did not say */
    void on_shed(time_point now, duration retry_after);
    /** Notes a trial being sent. */
    void on_trial(time_point now);
    /** Notes a connection that came about. @return whether the server had been unreachable */
    bool on_connected();
    /** Notes a connection that did not come about. @return whether that is news */
    bool on_connect_failed(time_point now);

private:
    void note_slowness(time_point now, double ratio);
    void enter_degraded(time_point now);

    double slowness_ = 1;               ///< smoothed
    double failure_rate_ = 0;           ///< smoothed
    bool slow_ = false;                 ///< see is_slow()
    bool failing_ = false;              ///< see is_failing()
    std::uint32_t failures_in_row_ = 0; ///< without a good reply between
    time_point last_slow_reply_{};      ///< requests sent before it met the same delay
    time_point shedding_until_{};       ///< see is_shedding()
    std::uint32_t sheds_in_row_ = 0;    ///< without a good reply between
    time_point next_trial_{};           ///< see is_trial_due()
    std::uint32_t trials_in_row_ = 0;   ///< in a row, for growing intervals
    bool unreachable_ = false;          ///< see is_unreachable()
    std::uint32_t failed_connects_ = 0; ///< without a good reply between
    time_point connect_after_{};        ///< see connect_after()
};

} // namespace pollengrade
