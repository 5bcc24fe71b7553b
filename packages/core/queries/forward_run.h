/** @file forward_run.h One caller's request on its way to one server, or to one of each shard. */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/config/route_table.h"
#include "core/queries/forward_type.h"
#include "core/queries/gather.h"

namespace pollengrade {

/** What a run needs to know of its request. */
struct forward_job {
    std::shared_ptr<const forwarded_request> request; ///< what goes on
    route_table_ptr table;                            ///< the version that all of it follows
    const route* via = nullptr;                       ///< the route, within the table
    std::vector<gather_target> targets;               ///< one service, or all shards
    time_point arrived;                               ///< when the request was read
    time_point deadline;                              ///< when the answer must be out
};

/**
 * Runs one forwarded request to its one answer. A request that is not idempotent is sent to a second server
 * only when the first proved that it did not run it; a refusal is given only when no server can have run it.
 */
class forward_run {
public:
    /**
     * @param context what the node shares
     * @param job the request and where it goes
     * @param finish called once with the answer
     */
    forward_run(run_context context, forward_job job, forward_hook finish);

    /** Sends the first attempts. */
    void start();
    /** Ends the run without an answer: the caller is gone. */
    void abandon();

    /** @return whether the answer has been given or the caller is gone. */
    [[nodiscard]] bool is_finished() const noexcept { return finished_; }
    [[nodiscard]] const forward_job& job() const noexcept { return job_; }
    [[nodiscard]] const gather& fan_out() const noexcept { return *gather_; }

private:
    [[nodiscard]] gather_plan make_plan() const;
    [[nodiscard]] std::optional<attempt_error> merge_reply(attempt_reply& reply);
    [[nodiscard]] std::optional<attempt_error> merge_part(forwarded_reply& reply);
    void finish();
    [[nodiscard]] forward_answer single_answer();
    [[nodiscard]] forward_answer merged_answer();
    [[nodiscard]] forward_answer answer_without_reply() const;

    run_context context_;                  ///< what the node shares
    forward_job job_;                      ///< the request and where it goes
    forward_hook finish_;                  ///< takes the answer
    std::unique_ptr<gather> gather_;       ///< the attempts
    std::optional<forwarded_reply> reply_; ///< of one server: the good reply, or the last bad one
    std::vector<std::string> signatures_;  ///< of shards: the parts that are in
    std::vector<std::string> bodies_;      ///< of shards: their records
    bool finished_ = false;                ///< whether the answer is out, or the caller gone
};

/** @return the least number of shards that are at least @p share of @p count. */
[[nodiscard]] std::size_t least_shards(double share, std::size_t count);

} // namespace pollengrade
