/** @file upstream.h One server of a service, as this node sees it. */
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "core/base/error_type.h"
#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

/** What a server takes from this node. */
struct upstream_limits {
    std::uint32_t max_in_flight = 2; ///< this node's share of the server's connections
    std::uint32_t slots = 2;         ///< requests the server runs at a time
    std::uint32_t max_queue = 64;    ///< requests kept waiting here
};

/**
 * The standing and load of one server.
 * Draining holds for one incarnation of the server: only a later incarnation clears it.
 */
class upstream {
public:
    upstream(upstream_address address, upstream_limits limits)
        : address_{std::move(address)}, limits_{limits}, window_{static_cast<double>(limits.max_in_flight)} {}

    [[nodiscard]] const upstream_address& address() const noexcept { return address_; }
    [[nodiscard]] bool is_draining() const noexcept { return draining_; }
    [[nodiscard]] std::uint32_t in_flight() const noexcept { return in_flight_; }
    [[nodiscard]] std::uint32_t max_in_flight() const noexcept { return limits_.max_in_flight; }
    [[nodiscard]] const std::string& incarnation() const noexcept { return incarnation_; }

    /**
     * @return whether new work may be sent at @p now; a server that rested after failures is tried with one
     * request at a time.
     */
    [[nodiscard]] bool is_usable(time_point now) const {
        return !draining_ && now >= closed_until_ && (failures_ < failures_to_rest || in_flight_ == 0);
    }
    /** @return whether the server sheds load at @p now; no hedges go to it. */
    [[nodiscard]] bool is_shedding(time_point now) const { return now < shedding_until_; }
    /** @return whether one more request may be sent now. */
    [[nodiscard]] bool has_room() const { return in_flight_ < window(); }
    /** @return whether one more request may wait. */
    [[nodiscard]] bool has_queue_room() const { return queue_.size() < limits_.max_queue; }
    /** @return expected time until a request added now is answered. */
    [[nodiscard]] duration expected_wait() const;
    /** @return time without a reply that counts as a failed exchange. */
    [[nodiscard]] duration silence_limit() const;
    /** @return requests sent and waiting, relative to the slots and weighed by service time. */
    [[nodiscard]] double load(time_point now) const;

    /** Changes what the server takes. */
    void set_limits(upstream_limits limits);

    void enqueue(attempt_id id) { queue_.push_back(id); }
    /** @return whether @p id was waiting. */
    bool remove_from_queue(attempt_id id);
    /** @return the attempt that has waited longest. @pre something waits */
    attempt_id dequeue();
    [[nodiscard]] bool has_waiting() const noexcept { return !queue_.empty(); }

    void on_sent() { ++in_flight_; }
    /** Notes that a request is over, whatever came of it. @pre one is in flight */
    void on_finished();
    /** Notes a reply. @param service_time from sending to reply */
    void on_reply(time_point now, duration service_time, std::uint32_t server_in_flight);
    /** Notes a request withdrawn without a reply: the server takes at least that long. */
    void on_outpaced(time_point now, duration waited);
    /** Notes a refusal for load. */
    void on_shed(time_point now, duration retry_after);
    /** Notes a failed connection; the server rests for a growing time. @return whether that is news. */
    bool on_unreachable(time_point now);
    /** Notes an exchange without a usable reply; after some in a row the server rests. @return whether it
     * does. */
    bool on_failed(time_point now);
    /** Notes a reply. @return whether the server had been given a rest. */
    bool on_reachable();

    /**
     * Notes that an incarnation of the server is leaving.
     * @param incarnation the one leaving; empty when the source does not know it
     * @return whether this is news
     */
    bool mark_draining(std::string_view incarnation);
    /** Notes a live incarnation; clears draining only when it is another one. @return whether it did. */
    bool mark_live(std::string_view incarnation);

private:
    static constexpr std::uint32_t failures_to_rest = 3; ///< failed exchanges in a row

    void rest(time_point now);
    [[nodiscard]] std::uint32_t window() const { return static_cast<std::uint32_t>(window_); }

    upstream_address address_;           ///< where it listens
    upstream_limits limits_;             ///< what it takes
    double window_;                      ///< requests allowed in flight, 1 to limits_.max_in_flight
    std::uint32_t in_flight_ = 0;        ///< requests sent and not over
    std::deque<attempt_id> queue_;       ///< attempts waiting, oldest first
    double service_time_us_ = 1000;      ///< smoothed time from sending to reply
    time_point sampled_at_{};            ///< when service_time_us_ was last renewed
    std::uint32_t server_in_flight_ = 0; ///< what the server last reported
    bool draining_ = false;              ///< whether the incarnation is leaving
    std::string incarnation_;            ///< the incarnation last heard of
    time_point closed_until_{};          ///< no new work before this
    time_point shedding_until_{};        ///< sheds load until this
    std::uint32_t sheds_ = 0;            ///< refusals for load in a row
    std::uint32_t failures_ = 0;         ///< failed connections and exchanges in a row
};

} // namespace pollengrade
