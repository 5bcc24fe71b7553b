/** @file gather.h Scatter-gather over replica sets: attempts, hedges and retries until enough shards have
 * replied or time is up. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "core/base/error_type.h"
#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/queries/stop_schedule.h"
#include "core/upstreams/dispatcher.h"
#include "core/upstreams/retry_budget.h"

namespace pollengrade {

/** Components of the node that a run uses. */
struct run_context {
    timer_queue& timers; ///< the clock and its timers
    dispatcher& servers; ///< sends attempts
    event_log& log;      ///< the event log
    metrics& counts;     ///< the counters
};

/** One shard of a gather. */
struct gather_target {
    replica_set_name set;           ///< the shard's servers
    retry_budget* budget = nullptr; ///< limits hedges and retries to them; outlives the gather
};

/** Parameters of a gather. */
struct gather_plan {
    request_id request;                      ///< the caller's request
    std::vector<gather_target> targets;      ///< the shards to query
    work_class work;                         ///< class of work, for typical reply times
    time_point deadline;                     ///< when the gather ends, whatever it has received
    std::optional<time_point> soft_deadline; ///< from then on the gather ends with `sufficient_shards`
    std::size_t sufficient_shards = 0;       ///< included shards that end it after the soft deadline
    std::size_t min_shards = 0;              ///< the gather ends once fewer than this can be included
    bool is_repeat = false;                  ///< whether its requests have been counted as needed before
    std::uint32_t max_attempts = 2;          ///< servers that one shard's request may be sent to
    std::uint32_t priority = 0;              ///< among waiting attempts, lower values are sent first
    bool is_idempotent = true;               ///< if false, only a request that has not run is sent again
    bool is_hedging = true;                  ///< whether hedged requests may be sent
    duration min_hedge_delay{0};             ///< lower bound of the hedge delay
    bool refusals_bypass_budget = false;     ///< whether a retry after a refusal is not counted in the budget
};

/** Callbacks into the owner of a gather. */
struct gather_hooks {
    /** @return the request to send to a shard. */
    std::function<std::variant<index_request, std::shared_ptr<const forwarded_request>>(std::size_t)> content;
    /** Merges a shard's reply. @return why the reply cannot be used; nothing is merged then */
    std::function<std::optional<attempt_error>(std::size_t, attempt_reply&)> merge_reply;
    /**
     * Called after a failed attempt if a server of the shard did not serve the snapshot version.
     * @return whether the owner has abandoned this gather and continues without it
     */
    std::function<bool(std::size_t)> version_refused;
    /** Called last, when every shard is included or missing. */
    std::function<void()> finished;
};

/** Progress of one shard. */
struct shard_progress {
    bool settled = false;                    ///< whether the shard is included or missing
    bool included = false;                   ///< whether its reply is merged
    missing_reason reason{};                 ///< for a missing shard: why
    std::vector<attempt_id> live;            ///< attempts in progress
    std::vector<upstream_id> tried;          ///< servers of ended attempts
    std::size_t refused_versions = 0;        ///< servers that do not serve the snapshot version
    std::optional<attempt_error> last_error; ///< error of the last failed attempt
    time_point started{};                    ///< when the first attempt was made
    std::optional<timer_id> hedge;           ///< timer of the pending hedge
    bool retried = false;                    ///< whether it was asked again after a failure
    bool awaits_choice = false; ///< failed, and choose_retries() decides whether it is asked again
};

/**
 * Runs one scatter-gather request to its end. A shard's request goes to one server, and to another one when
 * the first is late or fails and the budget allows it; the shard's first good reply is merged. Modelled in
 * models/gather.pml.
 */
class gather {
public:
    gather(run_context context, gather_plan plan, gather_hooks hooks);
    gather(const gather&) = delete;
    gather& operator=(const gather&) = delete;
    gather(gather&&) = delete;
    gather& operator=(gather&&) = delete;
    ~gather();

    /** Sends the first attempts. The gather may finish before this returns. */
    void start();
    /** Sets the limits of a node that is stopping; they end the gather as its deadline does. */
    void limit(const stop_limit& limit);
    /** Ends the gather without calling `finished`. */
    void abandon(cancel_reason why);
    /** @return whether the gather has ended. */
    [[nodiscard]] bool is_finished() const noexcept { return finished_; }

    [[nodiscard]] const std::vector<shard_progress>& shards() const noexcept { return shards_; }
    [[nodiscard]] std::size_t included_count() const noexcept { return included_; }
    /** @return whether any server may have run any part of the request. */
    [[nodiscard]] bool may_have_run() const noexcept { return may_have_run_; }
    /** @return number of hedges sent. */
    [[nodiscard]] std::uint32_t hedges() const noexcept { return hedges_; }

private:
    /** @return nullopt if an attempt was submitted; otherwise why not. */
    std::optional<missing_reason> send_attempt(std::size_t index, placement_purpose purpose);
    /** @return whether the servers' stated rates do not allow one more attempt in time. */
    [[nodiscard]] bool exceeds_rate_limits(const attempt_request& request) const;
    /** @return whether a first attempt may be queued behind many others. */
    [[nodiscard]] bool may_join_crowd(const attempt_request& request) const;
    void log_plan();
    void arm_hedge(std::size_t index);
    void hedge(std::size_t index);
    void on_end(std::size_t index, const attempt_end& end);
    void on_failure(std::size_t index, const attempt_end& end, attempt_error code);
    bool retry(std::size_t index, attempt_error code);
    [[nodiscard]] bool is_retry_free(attempt_error code) const;
    [[nodiscard]] bool defers_retry(std::size_t index, attempt_error code) const;
    void choose_retries();
    void settle(std::size_t index, std::optional<missing_reason> reason);
    void settle_remaining(missing_reason reason);
    void give_up_unsent();
    void cancel_attempts(shard_progress& shard, cancel_reason why);
    void finish_if_decided();
    void finish();
    [[nodiscard]] std::vector<upstream_id> contacted_servers(const shard_progress& shard) const;
    [[nodiscard]] bool is_reply_expected(const shard_progress& shard) const;
    [[nodiscard]] bool awaits_only_silent_servers() const;
    [[nodiscard]] bool has_unsent_attempt(const shard_progress& shard) const;

    run_context context_;                ///< components of the node
    gather_plan plan_;                   ///< parameters
    gather_hooks hooks_;                 ///< callbacks into the owner
    std::vector<shard_progress> shards_; ///< one per target
    std::size_t unsettled_ = 0;          ///< shards neither included nor missing
    std::size_t included_ = 0;           ///< see included_count()
    std::uint32_t hedges_ = 0;           ///< see hedges()
    bool trial_used_ = false;    ///< whether one shard has gone to a degraded server as a trial; only one may
    bool may_have_run_ = false;  ///< see may_have_run()
    bool defers_finish_ = false; ///< whether finish_if_decided() is suppressed
    bool finished_ = false;      ///< see is_finished()
    bool choice_pending_ = false;         ///< whether choose_retries() is scheduled
    std::optional<time_point> last_send_; ///< see limit(): from then on nothing is sent
    std::vector<timer_id> timers_;        ///< deadlines, choose_retries() and give_up_unsent()
};

} // namespace pollengrade
