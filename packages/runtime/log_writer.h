/** @file log_writer.h Rate-limited, non-blocking log output. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/event_log.h"
#include "core/base/timer_queue.h"

namespace pollengrade {

/** Rate limit for the lines of one importance. */
struct line_budget {
    double per_second; ///< refill rate of the token bucket
    double burst;      ///< capacity of the token bucket
};

/**
 * Writes one machine-readable line per event: time, node, event, and name=value pairs. Lines over the budget
 * of their importance are omitted and counted; successes have the smallest budget, so they are omitted before
 * failures. Output that the descriptor doesn't accept at once is kept in a bounded buffer, and lines that
 * don't fit are dropped and counted as omitted. Writing never blocks.
 */
class log_writer {
public:
    /**
     * @param timers the clock
     * @param node the node's name, written in each line
     * @param fd the descriptor to write to
     */
    log_writer(timer_queue& timers, std::string node, int fd);
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;
    log_writer(log_writer&&) = delete;
    log_writer& operator=(log_writer&&) = delete;
    ~log_writer();

    /** Writes the line of an event if its budget allows. */
    void write(const event& it);
    /** Writes as much of the buffered output as the descriptor accepts now. */
    void flush();
    /** @return the number of lines omitted so far. */
    [[nodiscard]] std::uint64_t omitted_lines() const noexcept { return omitted_; }

    /** Buffers a formatted line; called by the logging library. */
    void append(std::string_view line);

private:
    /** Importance of a line when the rate limit applies. */
    enum class importance : std::uint8_t { state, failure, success, count };
    static constexpr std::size_t importance_count = static_cast<std::size_t>(importance::count);

    struct bucket {
        double tokens = 0;
        time_point refilled{};
    };

    [[nodiscard]] static importance importance_of(const event& it);
    bool take_token(importance what);
    void schedule_flush();
    void report_omitted_lines();

    timer_queue& timers_;                            ///< the clock
    std::string node_;                               ///< the node's name, written in each line
    int fd_;                                         ///< the descriptor to write to
    std::array<bucket, importance_count> buckets_{}; ///< by importance
    std::string buffered_;                           ///< formatted lines not written yet
    std::optional<timer_id> flush_timer_;            ///< pending flush
    std::optional<timer_id> report_timer_;           ///< pending report_omitted_lines()
    std::uint64_t omitted_ = 0;                      ///< see omitted_lines()
    std::uint64_t reported_ = 0;                     ///< how many of them have been reported
};

/** @return an event as one line, without a line break. */
[[nodiscard]] std::string format_event(std::string_view node, const event& it);

} // namespace pollengrade
