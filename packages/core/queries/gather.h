/** @file gather.h One query's fan-out: attempts, hedges, retries, and the merge of one snapshot. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/queries/answer_type.h"
#include "core/queries/service.h"
#include "core/upstreams/dispatcher.h"
#include "core/upstreams/shard_type.h"

namespace pollengrade {

/** What a gather shares with its node. */
struct gather_context {
    timer_queue& timers; ///< the clock
    dispatcher& servers; ///< sends attempts
    event_log& log;      ///< the time line
    metrics& counts;     ///< the counters
};

/**
 * Runs one search or lookup to its one answer.
 * Every row comes from the pinned snapshot: a reply of another request, shard or version is never merged.
 * Modelled in models/gather.pml.
 */
class gather {
public:
    /**
     * @param context what the node shares
     * @param owner the service; outlives the gather
     * @param request what was asked
     * @param deadline when the answer must be out
     * @param finish called once with the answer
     */
    gather(gather_context context, service& owner, caller_request request, time_point deadline,
           answer_hook finish);
    gather(const gather&) = delete;
    gather& operator=(const gather&) = delete;
    gather(gather&&) = delete;
    gather& operator=(gather&&) = delete;
    ~gather();

    /** Pins a snapshot and sends the first attempts. */
    void start();
    /** Ends the gather without an answer: the caller is gone. */
    void abandon();
    /** @return whether the answer has been given or the caller is gone. */
    [[nodiscard]] bool is_finished() const noexcept { return finished_; }

private:
    /** Where one shard stands. */
    struct shard_progress {
        const shard_entry* entry = nullptr;      ///< in the pinned map
        bool settled = false;                    ///< included or missing
        bool included = false;                   ///< its rows are in
        missing_reason reason{};                 ///< for settled and not included
        std::vector<attempt_id> live;            ///< attempts not over
        std::vector<upstream_address> tried;     ///< servers asked
        std::size_t absent = 0;                  ///< servers without the snapshot
        std::optional<attempt_error> last_error; ///< the last attempt's failure
        time_point started{};                    ///< when the first attempt was made
        std::optional<timer_id> hedge;           ///< pending hedge
    };

    void plan(shard_map_ptr map);
    void launch(std::size_t index);
    bool send_attempt(std::size_t index, bool is_hedge);
    void arm_hedge(std::size_t index);
    void hedge(std::size_t index);
    void on_result(std::size_t index, attempt_id id, attempt_result result);
    void on_failure(std::size_t index, attempt_error code);
    [[nodiscard]] std::optional<attempt_error> mismatch(const shard_progress& shard,
                                                        const shard_reply& reply) const;
    bool replan();
    void settle(std::size_t index, std::optional<missing_reason> reason);
    void settle_remaining(missing_reason reason);
    void withdraw_attempts(shard_progress& shard);
    void on_tail_cut();
    void finish();
    [[nodiscard]] std::size_t included_count() const;

    gather_context context_;             ///< what the node shares
    service& service_;                   ///< the service asked
    caller_request request_;             ///< what was asked
    time_point deadline_;                ///< when the answer must be out
    answer_hook finish_;                 ///< takes the answer
    shard_map_ptr map_;                  ///< the pinned snapshot
    std::vector<shard_progress> shards_; ///< one for each shard wanted
    std::vector<result_row> rows_;       ///< rows of included shards
    std::size_t unsettled_ = 0;          ///< shards neither included nor missing
    bool replanned_ = false;             ///< whether the one new plan has been used
    bool may_have_run_ = false;          ///< whether a server may have run any part
    bool finished_ = false;              ///< whether the answer is out
    std::vector<timer_id> timers_;       ///< deadline and tail cut
};

} // namespace pollengrade
