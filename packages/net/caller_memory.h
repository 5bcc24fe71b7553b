/** @file caller_memory.h Bounds the bytes that a node holds for all of its callers together. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_set>

#include "core/base/metrics.h"
#include "core/base/timer_queue.h"

namespace pollengrade {

/** What a connection holds bytes for. */
enum class holding_kind : std::uint8_t {
    request, ///< a request that is not complete; it has not run, and can be refused
    run,     ///< a request that may be at a server; it is never given up
    reply,   ///< a reply that its caller has not read
};

class caller_memory;

/** The bytes that one connection holds. */
class memory_holding {
public:
    /**
     * @param owner counts the bytes
     * @param give_up releases the bytes, because others need the room; must call clear()
     */
    memory_holding(caller_memory& owner, std::function<void()> give_up)
        : owner_{owner}, give_up_{std::move(give_up)} {}
    memory_holding(const memory_holding&) = delete;
    memory_holding& operator=(const memory_holding&) = delete;
    memory_holding(memory_holding&&) = delete;
    memory_holding& operator=(memory_holding&&) = delete;
    ~memory_holding() { clear(); }

    /**
     * States what the connection holds now. Small amounts count as nothing.
     * @return false if there is no room for it; the bytes are not counted then, and must be released
     */
    [[nodiscard]] bool set(holding_kind kind, std::size_t bytes);
    /** States how much of the request has been received, or of the reply has been sent: @p done of @p total.
     */
    void set_progress(std::size_t done, std::size_t total);
    /** The connection holds nothing more. */
    void clear();

private:
    friend class caller_memory;

    caller_memory& owner_;                      ///< see memory_holding()
    std::function<void()> give_up_;             ///< see memory_holding()
    holding_kind kind_ = holding_kind::request; ///< see set()
    std::size_t bytes_ = 0;                     ///< see set(); 0 if it isn't counted
    time_point since_{};                        ///< when it began to hold bytes of this kind
    double part_done_ = 1;                      ///< see set_progress(); above 0
};

/**
 * Counts what all connections hold and keeps the sum within a limit.
 *
 * When the sum exceeds the limit, the holding that costs most is given up: its bytes times the time for which
 * they will have been held once all is received or sent, at the speed so far. An ordinary caller reads or
 * sends at the speed of its link and costs little, so those that are slow go first, also if they have just
 * come. Requests that may be at a server are never given up; a long one is not passed on while those take
 * half of the limit.
 */
class caller_memory {
public:
    /**
     * @param limit bytes of all holdings together
     * @param timers the clock
     * @param counts counts holdings that were given up or not admitted
     */
    caller_memory(std::size_t limit, const timer_queue& timers, metrics& counts)
        : limit_{limit}, timers_{timers}, counts_{counts} {}

    /** @return the bytes counted for all holdings. */
    [[nodiscard]] std::size_t counted() const noexcept { return counted_; }

private:
    friend class memory_holding;

    [[nodiscard]] bool change(memory_holding& it, holding_kind kind, std::size_t bytes);
    void remove(memory_holding& it);
    [[nodiscard]] double cost_of(const memory_holding& it) const;
    /** @return the holding to be given up first; null if none may be. */
    [[nodiscard]] memory_holding* most_costly() const;
    /** Gives up holdings until the sum is within the limit. @return whether @p asking may stay */
    [[nodiscard]] bool make_room(memory_holding& asking);

    std::size_t limit_;                            ///< bytes of all holdings together
    const timer_queue& timers_;                    ///< the clock
    metrics& counts_;                              ///< see caller_memory()
    std::unordered_set<memory_holding*> holdings_; ///< those that are counted
    std::size_t counted_ = 0;                      ///< see counted()
    std::size_t counted_for_runs_ = 0;             ///< part of it that is held for runs
};

/** @return the bytes that callers may take of a node's memory, which is given in bytes. */
[[nodiscard]] std::size_t caller_memory_limit(std::size_t node_memory);

} // namespace pollengrade
