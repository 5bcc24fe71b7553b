/** @file search_run.h One search or lookup of the node's own HTTP interface: a gather over the shards of one
 * snapshot. */
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "core/queries/answer_type.h"
#include "core/queries/gather.h"
#include "core/queries/service.h"

namespace pollengrade {

/**
 * Runs one search or lookup, which gets exactly one answer.
 * Every row comes from the pinned snapshot: a reply to another request, or of another shard or version, is
 * never merged. If no server of a shard serves the snapshot any more, the query is planned again, once.
 */
class search_run {
public:
    /**
     * @param context components of the node
     * @param owner the service; outlives the run
     * @param request the caller's request
     * @param deadline when the answer must be sent
     * @param finish called once with the answer
     */
    search_run(run_context context, service& owner, caller_request request, time_point deadline,
               answer_hook finish);

    /** Pins a snapshot and sends the first attempts. */
    void start();
    /** Sets the limits of a node that is stopping. */
    void limit(const stop_limit& limit);
    /** Ends the run without an answer because the caller is gone. */
    void abandon();
    /** @return the service queried. */
    [[nodiscard]] const service& owner() const noexcept { return service_; }
    /** @return whether the answer has been given or the caller is gone. */
    [[nodiscard]] bool is_finished() const noexcept { return finished_; }

private:
    void plan(shard_map_ptr map);
    [[nodiscard]] gather_plan make_plan() const;
    [[nodiscard]] std::optional<attempt_error> merge_reply(std::size_t index, attempt_reply& reply);
    bool replan();
    void finish();

    run_context context_;                     ///< components of the node
    service& service_;                        ///< the service queried
    caller_request request_;                  ///< the caller's request
    time_point started_;                      ///< when the run was created
    time_point deadline_;                     ///< when the answer must be sent
    answer_hook finish_;                      ///< receives the answer
    shard_map_ptr map_;                       ///< the pinned snapshot
    std::vector<const shard_entry*> entries_; ///< queried shards, owned by the pinned snapshot
    std::vector<result_row> rows_;            ///< rows of included shards
    std::unique_ptr<gather> gather_;          ///< the current gather
    std::unique_ptr<gather> retired_; ///< the gather before a replan; it may still be on the call stack
    bool replanned_ = false;          ///< whether the query has been planned again
    bool may_have_run_ = false;       ///< whether a server may have run part of the earlier plan
    std::optional<stop_limit> limit_; ///< see limit()
    bool finished_ = false;           ///< see is_finished()
};

} // namespace pollengrade
