/** @file reply_memory.h Bounds the bytes of all replies that a node is reading. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "core/base/event_log.h"
#include "core/base/id_type.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/upstreams/connection_type.h"

namespace pollengrade {

/** Whose reply a connection carries. */
struct reply_origin {
    upstream_id server; ///< the server that sends it
    request_id request; ///< the caller's request
};

/** What reply_memory needs of connections. The hooks must not call back into it. */
struct reply_memory_hooks {
    std::function<void(connection_id)> give_up; ///< the connection's reply is given up; it must be closed
    std::function<void(connection_id)> resume;  ///< the connection's reply is to be read on
    std::function<reply_origin(connection_id)> origin_of; ///< for the log
};

/** @return the bytes that the replies under way may take of a node's memory, which is given in bytes. */
[[nodiscard]] std::size_t reply_memory_limit(std::size_t node_memory);

/**
 * Counts the bytes of the replies that a node is reading and keeps their sum within a limit.
 *
 * A large body whose length is stated is admitted with its whole length, or waits unread until there is room;
 * it is then sure to be read to its end. Any other reply is read as it comes. If the sum exceeds the limit,
 * the reply that holds most of those without a stated length is given up, as nothing tells that it has an
 * end; after these, the one that holds most of those not admitted. An admitted reply whose server has stalled
 * is given up if others wait for its room.
 */
class reply_memory {
public:
    /**
     * @param limit bytes of all replies together; a body above three quarters of it is never admitted
     * @param timers the clock, and the timer of the check for stalled servers
     * @param log records replies that are given up
     * @param counts counts replies that waited, and those that were given up
     * @param hooks close and resume connections
     */
    reply_memory(std::size_t limit, timer_queue& timers, event_log& log, metrics& counts,
                 reply_memory_hooks hooks);
    reply_memory(const reply_memory&) = delete;
    reply_memory& operator=(const reply_memory&) = delete;
    reply_memory(reply_memory&&) = delete;
    reply_memory& operator=(reply_memory&&) = delete;
    ~reply_memory();

    /** Bytes of a reply have been read that is not complete. @return whether to read on now */
    [[nodiscard]] bool on_bytes(connection_id id, const reply_extent& extent);
    /** A reply is complete, or its connection has ended; without effect for one that was given up, or that
     * came in one piece. */
    void end(connection_id id);

    /** @return the bytes counted for all replies. */
    [[nodiscard]] std::size_t counted() const noexcept { return counted_; }

private:
    /** How a reply is read. */
    enum class admission : std::uint8_t {
        as_it_comes, ///< its end is not known, or is near
        waiting,     ///< not read until there is room for its whole body
        admitted,    ///< there is room for its whole body
    };
    /** A reply that is being read. */
    struct open_reply {
        reply_extent extent;                      ///< as last reported
        admission state = admission::as_it_comes; ///< how it is read
        std::size_t reserved = 0;                 ///< bytes that it may come to hold; 0 unless admitted
        std::size_t counted = 0;                  ///< bytes counted for it
        time_point last_bytes;                    ///< when bytes of it arrived last

        /** @return the bytes that it comes to hold at most, if its head states the length of its body. */
        [[nodiscard]] std::size_t largest_size() const;
    };
    using entry = std::unordered_map<connection_id, open_reply>::value_type;

    /** @return false if the reply is not known. */
    bool remove(connection_id id);
    [[nodiscard]] bool has_room_for(const open_reply& it) const;
    void admit_or_wait(connection_id id, open_reply& it);
    void admit(open_reply& it);
    void update_count(open_reply& it);
    /** Admits replies that wait, in their order, up to the first for which there is no room. */
    void admit_waiting();
    /** @return the reply to be given up first; null if all are admitted. */
    [[nodiscard]] const entry* first_to_give_up() const;
    /** Gives up replies until the sum is within the limit. */
    void give_up_excess();
    /** @return the admitted reply whose server has been silent longest; null if none has stalled. */
    [[nodiscard]] const entry* longest_stalled() const;
    /** Gives up stalled replies until there is room for the first one that waits. */
    void give_up_stalled();
    void give_up(const entry& which, std::string_view cause);
    void arm_stall_check();

    std::size_t limit_;                                     ///< bytes of all replies together
    timer_queue& timers_;                                   ///< the clock
    event_log& log_;                                        ///< see reply_memory()
    metrics& counts_;                                       ///< see reply_memory()
    reply_memory_hooks hooks_;                              ///< close and resume connections
    std::unordered_map<connection_id, open_reply> replies_; ///< by connection
    std::deque<connection_id> waiting_;                     ///< in the order in which they asked for room
    std::size_t counted_ = 0;                               ///< bytes counted for all replies
    std::size_t reserved_ = 0;                              ///< bytes reserved for admitted replies
    std::optional<timer_id> stall_check_;                   ///< pending while replies wait
};

} // namespace pollengrade
