/** @file forward_run.h One caller's request, forwarded to one server or to one server of each shard. */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/config/route_table.h"
#include "core/queries/admission.h"
#include "core/queries/forward_type.h"
#include "core/queries/gather.h"

namespace pollengrade {

/** A request to forward, and where it goes. */
struct forward_job {
    std::shared_ptr<const forwarded_request> request; ///< the request to forward
    route_table_ptr table;                            ///< route table that applies to the whole run
    const route* via = nullptr;                       ///< the matching route, owned by the table
    std::vector<gather_target> targets;               ///< one service, or all shards of a gather
    time_point arrived;                               ///< when the request was read
    time_point deadline;                              ///< when the answer must be sent
    std::optional<time_point>
        soft_deadline; ///< from then on the least shards are answered; nullopt for never
};

/** @return what admission control needs to know of a job, as of @p now. */
[[nodiscard]] admission_inputs admission_inputs_of(const forward_job& job, time_point now);

/**
 * Runs one forwarded request, which gets exactly one answer. A request that is not idempotent is sent to a
 * second server only if the first proved that it did not run the request; a refusal is given only if no
 * server can have run it.
 */
class forward_run {
public:
    /**
     * @param context components of the node
     * @param job the request and where it goes
     * @param finish called once with the answer
     */
    forward_run(run_context context, forward_job job, forward_hook finish);

    /** Sends the first attempts. */
    void start();
    /** Sets the limits of a node that is stopping. */
    void limit(const stop_limit& limit);
    /** Ends the run without an answer because the caller is gone. */
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
    /** @return the refusal if servers limit their rate or all asked for a pause; nullopt otherwise. */
    [[nodiscard]] std::optional<refused_answer> refusal_until_admitted() const;

    run_context context_;                  ///< components of the node
    forward_job job_;                      ///< the request and where it goes
    forward_hook finish_;                  ///< receives the answer
    std::unique_ptr<gather> gather_;       ///< the attempts
    std::optional<forwarded_reply> reply_; ///< of a single server: the success, or the last failure
    std::vector<std::string> signatures_;  ///< of a gather: signatures of the merged replies
    std::vector<std::string> bodies_;      ///< of a gather: records of the merged replies
    std::optional<time_point> last_send_;  ///< see limit()
    bool finished_ = false;                ///< see is_finished()
};

/** @return the smallest number of shards, at least 1, that is at least @p share of @p count. */
[[nodiscard]] std::size_t least_shards(double share, std::size_t count);

} // namespace pollengrade
