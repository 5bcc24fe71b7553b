/** @file search_run.h One search or lookup of our own interface: a gather over the shards of one snapshot. */
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "core/queries/answer_type.h"
#include "core/queries/gather.h"
#include "core/queries/service.h"

namespace pollengrade {

/**
 * Runs one search or lookup to its one answer.
 * Every row comes from the pinned snapshot: a reply of another request, shard or version is never merged.
 * When no server of a shard holds the snapshot any more, the query is planned anew, once.
 */
class search_run {
public:
    /**
     * @param context what the node shares
     * @param owner the service; outlives the run
     * @param request what was asked
     * @param deadline when the answer must be out
     * @param finish called once with the answer
     */
    search_run(run_context context, service& owner, caller_request request, time_point deadline,
               answer_hook finish);

    /** Pins a snapshot and sends the first attempts. */
    void start();
    /** Ends the run without an answer: the caller is gone. */
    void abandon();
    /** @return whether the answer has been given or the caller is gone. */
    [[nodiscard]] bool is_finished() const noexcept { return finished_; }

private:
    void plan(shard_map_ptr map);
    [[nodiscard]] gather_plan make_plan() const;
    [[nodiscard]] std::optional<attempt_error> merge_reply(std::size_t index, attempt_reply& reply);
    bool replan();
    void finish();

    run_context context_;                     ///< what the node shares
    service& service_;                        ///< the service asked
    caller_request request_;                  ///< what was asked
    time_point started_;                      ///< when the request came
    time_point deadline_;                     ///< when the answer must be out
    answer_hook finish_;                      ///< takes the answer
    shard_map_ptr map_;                       ///< the pinned snapshot
    std::vector<const shard_entry*> entries_; ///< the shards wanted, in the pinned snapshot
    std::vector<result_row> rows_;            ///< rows of included shards
    std::unique_ptr<gather> gather_;          ///< the present fan-out
    std::unique_ptr<gather> retired_;         ///< the one before the new plan, still on the call stack
    bool replanned_ = false;                  ///< whether the one new plan has been used
    bool may_have_run_ = false;               ///< whether a server may have run a part of the plan before
    bool finished_ = false;                   ///< see is_finished()
};

} // namespace pollengrade
