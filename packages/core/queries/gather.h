/** @file gather.h A fan-out over replica sets: attempts, hedges, retries, until enough is in or time is up.
 */
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
#include "core/upstreams/dispatcher.h"
#include "core/upstreams/retry_budget.h"

namespace pollengrade {

/** What a run shares with its node. */
struct run_context {
    timer_queue& timers; ///< the clock
    dispatcher& servers; ///< sends attempts
    event_log& log;      ///< the event log
    metrics& counts;     ///< the counters
};

/** One shard of a fan-out. */
struct gather_target {
    replica_set_name set;           ///< its servers
    retry_budget* budget = nullptr; ///< of hedges and retries there; outlives the gather
};

/** What a gather is to do. */
struct gather_plan {
    request_id request;                 ///< the caller's request
    std::vector<gather_target> targets; ///< the shards wanted
    work_class work;                    ///< for what is usual
    time_point deadline;                ///< when it ends, whatever is in
    std::optional<time_point> cut;      ///< from here on `enough` shards are waited for no longer
    std::size_t enough = 0;             ///< shards with which the cut ends the gather
    std::size_t least = 0;              ///< once fewer can come in, the gather ends
    bool is_repeat = false;             ///< the same request has been counted as needed before
    std::uint32_t max_attempts = 2;     ///< servers that one shard's request may be sent to
    std::uint32_t priority = 0;         ///< lower goes first when attempts wait
    bool is_idempotent = true;          ///< else a second server is asked only if the first has not run it
    bool hedges = true;                 ///< whether a shard may be asked twice at a time
    duration hedge_floor{0};            ///< no hedge before this time
    bool refusals_are_free = false;     ///< whether another try after a refusal is taken from no budget
};

/** What a gather needs of its owner. */
struct gather_hooks {
    /** @return what a shard is sent. */
    std::function<std::variant<index_request, std::shared_ptr<const forwarded_request>>(std::size_t)> content;
    /** Merges a shard's reply. @return what is wrong with it; nothing is merged then */
    std::function<std::optional<attempt_error>(std::size_t, attempt_reply&)> take;
    /** A shard has no server left to try. @return whether the owner goes on without this gather */
    std::function<bool(std::size_t)> exhausted;
    /** The last call: every shard is included or missing. */
    std::function<void()> finished;
};

/** Where one shard stands. */
struct shard_progress {
    bool settled = false;                    ///< included or missing
    bool included = false;                   ///< its reply is merged
    missing_reason reason{};                 ///< for settled and not included
    std::vector<attempt_id> live;            ///< attempts not over
    std::vector<upstream_id> tried;          ///< servers that have been sent it
    std::size_t refused_versions = 0;        ///< servers that do not hold the snapshot
    std::optional<attempt_error> last_error; ///< the last attempt's failure
    time_point started{};                    ///< when the first attempt was made
    std::optional<timer_id> hedge;           ///< pending hedge
};

/**
 * Runs one fan-out to its end. A shard is sent to one server, to a second one when the first is late or
 * fails, within the budget; its first good reply is merged. Modelled in models/gather.pml.
 */
class gather {
public:
    gather(run_context context, gather_plan plan, gather_hooks hooks);
    gather(const gather&) = delete;
    gather& operator=(const gather&) = delete;
    gather(gather&&) = delete;
    gather& operator=(gather&&) = delete;
    ~gather();

    /** Sends the first attempts. May end at once. */
    void start();
    /** Ends the gather without a call of `finished`. */
    void abandon(cancel_reason why);
    /** @return whether it has ended. */
    [[nodiscard]] bool is_finished() const noexcept { return finished_; }

    [[nodiscard]] const std::vector<shard_progress>& shards() const noexcept { return shards_; }
    [[nodiscard]] std::size_t included_count() const noexcept { return included_; }
    /** @return whether any server may have run any part. */
    [[nodiscard]] bool may_have_run() const noexcept { return may_have_run_; }
    /** @return hedges sent. */
    [[nodiscard]] std::uint32_t hedges() const noexcept { return hedges_; }

private:
    /** @return nullopt when an attempt is on its way; else why none is. */
    std::optional<missing_reason> send_attempt(std::size_t index, placement_purpose purpose);
    void log_plan();
    void arm_hedge(std::size_t index);
    void hedge(std::size_t index);
    void on_end(std::size_t index, const attempt_end& end);
    void on_failure(std::size_t index, const attempt_end& end, attempt_error code);
    bool retry(std::size_t index, attempt_error code);
    void settle(std::size_t index, std::optional<missing_reason> reason);
    void settle_remaining(missing_reason reason);
    void withdraw_attempts(shard_progress& shard, cancel_reason why);
    void finish_if_decided();
    void finish();
    [[nodiscard]] std::vector<upstream_id> asked(const shard_progress& shard) const;
    [[nodiscard]] bool waits_unsent(const shard_progress& shard) const;

    run_context context_;                ///< what the node shares
    gather_plan plan_;                   ///< what is to be done
    gather_hooks hooks_;                 ///< the owner
    std::vector<shard_progress> shards_; ///< one for each target
    std::size_t unsettled_ = 0;          ///< shards neither included nor missing
    std::size_t included_ = 0;           ///< see included_count()
    std::uint32_t hedges_ = 0;           ///< see hedges()
    bool trial_used_ = false;            ///< one shard of a fan-out may try a server in doubt
    bool may_have_run_ = false;          ///< see may_have_run()
    bool starting_ = false;              ///< whether first attempts are still being sent
    bool finished_ = false;              ///< see is_finished()
    std::vector<timer_id> timers_;       ///< deadline and cut
};

} // namespace pollengrade
