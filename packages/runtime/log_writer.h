/** @file log_writer.h Log lines on standard output: bounded in number, never blocking. */
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

/** Lines of one kind of importance that may be written. */
struct line_budget {
    double per_second; ///< refilled
    double burst;      ///< saved up at most
};

/**
 * Writes one line an event: time, node, event, and names with values, so that a parser takes it. Lines over
 * their budget are left out and counted, failures after successes; what standard output does not take at
 * once waits in bounded memory, and is dropped beyond that. Nothing here ever waits.
 */
class log_writer {
public:
    /**
     * @param timers the clock
     * @param node the name put on each line
     * @param fd where lines go
     */
    log_writer(timer_queue& timers, std::string node, int fd);
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;
    log_writer(log_writer&&) = delete;
    log_writer& operator=(log_writer&&) = delete;
    ~log_writer();

    /** Writes an event's line, if its budget allows. */
    void write(const event& it);
    /** Writes what waits, as far as standard output takes it now. */
    void flush();
    /** @return lines left out so far. */
    [[nodiscard]] std::uint64_t left_out() const noexcept { return left_out_; }

    /** Adds a finished line; called by the logging library. */
    void append(std::string_view line);

private:
    /** How much a line is worth when there are too many. */
    enum class importance : std::uint8_t { state, failure, success, count };
    static constexpr std::size_t importance_count = static_cast<std::size_t>(importance::count);

    struct bucket {
        double saved = 0;
        time_point refilled{};
    };

    [[nodiscard]] static importance importance_of(const event& it);
    bool take(importance what);
    void arm();
    void tell_left_out();

    timer_queue& timers_;                            ///< the clock
    std::string node_;                               ///< the name put on each line
    int fd_;                                         ///< where lines go
    std::array<bucket, importance_count> buckets_{}; ///< by importance
    std::string waiting_;                            ///< lines not written yet
    std::optional<timer_id> flush_;                  ///< pending flush
    std::optional<timer_id> report_;                 ///< pending tell_left_out()
    std::uint64_t left_out_ = 0;                     ///< see left_out()
    std::uint64_t told_ = 0;                         ///< of them, those that a line has told of
};

/** @return an event as one line, without its end. */
[[nodiscard]] std::string format_event(std::string_view node, const event& it);

} // namespace pollengrade
