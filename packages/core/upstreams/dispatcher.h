/** @file dispatcher.h Sends attempts to servers within their limits. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>

#include "core/base/event_log.h"
#include "core/base/id_type.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/upstreams/shard_type.h"
#include "core/upstreams/upstream.h"

namespace pollengrade {

/** What the dispatcher needs of the network. */
struct transport_hooks {
    std::function<void(attempt_id, const attempt_request&)> transmit; ///< starts an exchange
    std::function<void(attempt_id)> abort; ///< ends an exchange; its connection must not be used again
};

/** Every server known to this node, and every attempt waiting or in flight. */
class dispatcher {
public:
    using completion = std::function<void(attempt_id, attempt_result)>;

    /**
     * @param timers the clock
     * @param log the time line
     * @param counts the counters
     * @param random a source of random numbers
     * @param hooks the network
     */
    dispatcher(timer_queue& timers, event_log& log, metrics& counts, std::function<std::uint64_t()> random,
               transport_hooks hooks);

    /** Makes a server known, or changes what it takes. */
    void set_limits(const upstream_address& address, upstream_limits limits);

    /**
     * Picks the less loaded of two usable servers drawn at random.
     * @param replicas the servers to pick from
     * @param excluded servers not to pick
     * @param for_hedge whether servers that shed load are left out
     * @return a server with room to send or to wait, if there is one
     */
    [[nodiscard]] std::optional<upstream_address> pick(std::span<const upstream_address> replicas,
                                                       std::span<const upstream_address> excluded,
                                                       bool for_hedge) const;

    /** @return the shortest expected wait over usable servers; nullopt when none is usable. */
    [[nodiscard]] std::optional<duration> expected_wait(std::span<const upstream_address> replicas) const;

    /**
     * Sends an attempt, at once or when the server has room.
     * @param request what to send
     * @param done called once with the result, unless the attempt is withdrawn; never from within submit()
     * @return the attempt's ID
     * @pre the server was picked just now
     */
    attempt_id submit(attempt_request request, completion done);

    /** Withdraws an attempt: it is not sent any more, or its exchange is ended. */
    void withdraw(attempt_id id);
    /** @return whether the attempt has been handed to the network. */
    [[nodiscard]] bool was_sent(attempt_id id) const;

    /** Takes the result of an exchange; a result of an unknown attempt is counted and dropped. */
    void complete(attempt_id id, attempt_result result);

    /** Notes word from another source than the server's own replies. */
    void note_draining(const upstream_address& address, std::string_view incarnation);
    void note_live(const upstream_address& address, std::string_view incarnation);

    /** @return a known server, or null. */
    [[nodiscard]] const upstream* find(const upstream_address& address) const;
    /** @return all known servers. */
    [[nodiscard]] const std::map<upstream_address, upstream>& upstreams() const noexcept {
        return upstreams_;
    }
    /** @return attempts waiting or in flight. */
    [[nodiscard]] std::size_t live_attempts() const noexcept { return attempts_.size(); }

private:
    struct attempt {
        attempt_request request;
        completion done;
        time_point sent_at{};
        bool sent = false;
    };

    upstream& at(const upstream_address& address);
    void transmit(attempt_id id);
    void send_waiting(upstream& server);
    void note_failure(upstream& server);
    void note_result(upstream& server, const attempt& sent, const attempt_result& result);

    timer_queue& timers_;                              ///< the clock
    event_log& log_;                                   ///< the time line
    metrics& counts_;                                  ///< the counters
    std::function<std::uint64_t()> random_;            ///< random numbers
    transport_hooks hooks_;                            ///< the network
    std::map<upstream_address, upstream> upstreams_;   ///< by address
    std::unordered_map<attempt_id, attempt> attempts_; ///< waiting or in flight
    std::uint64_t next_attempt_ = 1;                   ///< the next attempt's ID
};

} // namespace pollengrade
