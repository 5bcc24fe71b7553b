/** @file order_run.h One non-idempotent request, run at most once. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/queries/answer_type.h"
#include "core/queries/claim_type.h"
#include "core/queries/service.h"
#include "core/queries/stop_schedule.h"
#include "core/upstreams/dispatcher.h"

namespace pollengrade {

/** Components of the node that an order uses. */
struct order_context {
    timer_queue& timers;                   ///< the clock and its timers
    dispatcher& servers;                   ///< sends attempts
    event_log& log;                        ///< the event log
    metrics& counts;                       ///< the counters
    std::function<std::uint64_t()> random; ///< random numbers, for tokens and backoff jitter
    std::function<wall_time()> wall_clock; ///< the wall clock, for the age of keys
    claim_store_hooks claims;              ///< the platform
};

/** @return name in the platform of the claim for a key. */
[[nodiscard]] claim_name claim_name_of(const service_name& service, std::string_view key);
/** @return the class of work of a service's orders. */
[[nodiscard]] inline work_class order_work_of(const service_name& service) {
    return work_class{service.value() + " order"};
}
/** @return hash of an order's content. */
[[nodiscard]] std::uint64_t fingerprint_of(const service_name& service, const shard_query& query);

/**
 * Runs one order.
 * A claim is created in the platform before anything is sent. Only the run whose token is in the claim sends
 * the order, and it tries another server only after the previous one proved that it did not run the order.
 * A claim is never taken over from a silent owner, because the owner may have sent the order.
 * Modelled in models/order.pml.
 */
class order_run {
public:
    /**
     * @param context components of the node
     * @param owner the service; outlives the run
     * @param request the caller's request
     * @param deadline when the answer must be sent
     * @param finish called once with the answer
     * @param ended called once when nothing is outstanding any more, including the record of the outcome
     */
    order_run(order_context context, service& owner, caller_request request, time_point deadline,
              answer_hook finish, std::function<void()> ended);
    order_run(const order_run&) = delete;
    order_run& operator=(const order_run&) = delete;
    order_run(order_run&&) = delete;
    order_run& operator=(order_run&&) = delete;
    ~order_run() = default;

    /** Checks the request and starts to write its claim. */
    void start();
    /** Sets the limits of a node that is stopping. The order is refused if it isn't sent in time. */
    void limit(const stop_limit& limit);

    /** @return the service that runs the order. */
    [[nodiscard]] const service& owner() const noexcept { return service_; }

private:
    enum class stage : std::uint8_t { claiming, sending, settling, ended };

    [[nodiscard]] std::optional<refusal_reason> invalid_reason() const;
    void write_claim(object_version expected);
    void on_claim_written(object_version expected, const store_result& result);
    void read_claim();
    void on_claim_read(const store_result& result);
    void on_foreign_claim(const stored_claim& other);
    void retry_after_backoff(std::function<void()> step);
    void on_deadline();
    void on_last_send();
    [[nodiscard]] bool is_past_last_send() const;
    void refuse_unsent(refusal_reason reason, duration retry_after);

    void send();
    void on_attempt_end(const attempt_end& end);

    void record(claim_state state);
    void release();
    void settle_claim();
    void on_settled(const store_result& result);
    void refresh_held_version();

    void refuse(refusal_reason reason, duration retry_after);
    void reply(answer it);
    void end();
    [[nodiscard]] answer make_answer(outcome result) const;

    order_context context_;           ///< components of the node
    service& service_;                ///< the service that runs the order
    caller_request request_;          ///< the caller's request
    time_point deadline_;             ///< when the answer must be sent
    answer_hook finish_;              ///< receives the answer; empty once it has been given
    std::function<void()> ended_;     ///< called when nothing is outstanding any more
    stage stage_ = stage::claiming;   ///< current stage
    claim_name name_;                 ///< name of the claim
    claim claim_;                     ///< this run's claim
    object_version held_version_;     ///< version of the claim if this run holds it, otherwise 0
    object_version expected_version_; ///< object version that the last claiming write expected
    bool may_hold_claim_ = false;     ///< whether a write of this run's claim has, or may still, take effect
    bool waits_for_other_ = false;    ///< whether another run's claim was found open
    bool platform_call_ = false;      ///< whether a read or claiming write is outstanding
    std::uint32_t backoffs_ = 0;      ///< number of backoffs so far; the delay grows with it
    std::uint32_t settle_attempts_ = 0;      ///< settling writes attempted
    std::vector<upstream_id> tried_;         ///< servers that proved not to have run the order
    std::optional<attempt_id> live_;         ///< the attempt waiting or in flight
    shard_map_ptr map_;                      ///< the snapshot that names the servers
    std::optional<time_point> last_send_;    ///< see limit()
    std::optional<timer_id> send_timer_;     ///< see on_last_send()
    std::optional<timer_id> deadline_timer_; ///< see on_deadline()
    std::optional<timer_id> backoff_timer_;  ///< backoff before the next platform call
};

} // namespace pollengrade
