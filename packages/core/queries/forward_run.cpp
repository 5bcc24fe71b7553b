/** @file forward_run.cpp Plans, merging of shard replies, and answers of forwarded requests. */
#include "core/queries/forward_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/queries/record_merge.h"

namespace pollengrade {

namespace {

constexpr duration deadline_margin =
    std::chrono::milliseconds{5}; ///< reserved for sending the answer to the caller
/** Of a longer part only the records that the answer may need are kept, as it may wait for others. */
constexpr std::size_t long_part_bytes = std::size_t{16} * 1024;
constexpr duration refused_retry_after = std::chrono::milliseconds{50}; ///< when a refused caller may retry

} // namespace

std::size_t least_shards(double share, std::size_t count) {
    constexpr double rounding = 1e-9; // 0.9 of 10 shards is 9, not 10, despite rounding errors.
    const double wanted = std::ceil(share * static_cast<double>(count) - rounding);
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::max(0.0, wanted)));
}

admission_inputs admission_inputs_of(const forward_job& job, time_point now) {
    const route& via = *job.via;
    admission_inputs inputs;
    for (const gather_target& it : job.targets)
        inputs.sets.push_back(it.set);
    inputs.min_sets = via.is_gather() ? least_shards(via.min_shard_ratio, via.shards.size()) : 1;
    inputs.work = work_class{via.name};
    inputs.time_left = job.deadline - now;
    inputs.target_left = job.soft_deadline.value_or(job.deadline) - now;
    return inputs;
}

forward_run::forward_run(run_context context, forward_job job, forward_hook finish)
    : context_{context}, job_{std::move(job)}, finish_{std::move(finish)} {
    gather_hooks hooks;
    hooks.content = [this](std::size_t) { return job_.request; };
    hooks.merge_reply = [this](std::size_t, attempt_reply& reply) { return merge_reply(reply); };
    hooks.finished = [this] { this->finish(); };
    gather_ = std::make_unique<gather>(context_, make_plan(), std::move(hooks));
}

gather_plan forward_run::make_plan() const {
    const route& via = *job_.via;
    gather_plan plan;
    plan.request = job_.request->id;
    plan.targets = job_.targets;
    plan.work = work_class{via.name};
    plan.deadline = job_.deadline - deadline_margin;
    plan.soft_deadline = job_.soft_deadline;
    plan.min_shards = via.is_gather() ? least_shards(via.min_shard_ratio, via.shards.size()) : 1;
    plan.sufficient_shards = plan.min_shards;
    plan.max_attempts = via.max_attempts;
    plan.priority = via.priority;
    plan.is_idempotent = via.is_idempotent;
    plan.is_hedging = via.is_idempotent;
    return plan;
}

void forward_run::start() {
    gather_->start();
}

void forward_run::limit(const stop_limit& limit) {
    last_send_ = limit.last_send;
    job_.deadline = std::min(job_.deadline, limit.last_answer);
    gather_->limit({limit.last_send, limit.last_answer - deadline_margin});
}

void forward_run::abandon() {
    if (std::exchange(finished_, true))
        return;
    gather_->abandon(cancel_reason::caller_gone);
}

std::optional<attempt_error> forward_run::merge_reply(attempt_reply& reply) {
    auto* forwarded = std::get_if<forwarded_reply>(&reply);
    if (forwarded == nullptr)
        return attempt_error::malformed;
    if (job_.via->is_gather())
        return merge_part(*forwarded);
    const bool is_failure = is_server_error_status(forwarded->message.status);
    reply_ = std::move(*forwarded);
    if (is_failure && job_.via->is_idempotent)
        return attempt_error::server_error;
    return std::nullopt;
}

std::optional<attempt_error> forward_run::merge_part(forwarded_reply& reply) {
    if (!is_success_status(reply.message.status))
        return attempt_error::server_error;
    const bool is_duplicate =
        std::find(signatures_.begin(), signatures_.end(), reply.signature) != signatures_.end();
    if (reply.signature.empty() || is_duplicate)
        return attempt_error::malformed;
    signatures_.push_back(std::move(reply.signature));
    if (reply.message.body.size() > long_part_bytes)
        reply.message.body = merge_records({&reply.message.body, 1}, job_.via->max_records);
    bodies_.push_back(std::move(reply.message.body));
    return std::nullopt;
}

void forward_run::finish() {
    if (std::exchange(finished_, true))
        return;
    finish_(job_.via->is_gather() ? merged_answer() : single_answer());
}

forward_answer forward_run::single_answer() {
    // The caller would repeat a request that may have run.
    if (reply_ && reply_->is_unproven_refusal && !job_.via->is_idempotent)
        return failed_answer{forward_failure::unproven_refusal};
    if (reply_)
        return proxied_answer{std::move(reply_->message)};
    return answer_without_reply();
}

forward_answer forward_run::merged_answer() {
    const route& via = *job_.via;
    if (signatures_.size() < least_shards(via.min_shard_ratio, via.shards.size()))
        return answer_without_reply();
    gathered_answer it;
    it.missing = via.shards.size() - signatures_.size();
    it.signatures = std::move(signatures_);
    it.records = merge_records(bodies_, via.max_records);
    return it;
}

std::optional<refused_answer> forward_run::refusal_until_admitted() const {
    const auto& shards = gather_->shards();
    const bool is_limited = std::any_of(shards.begin(), shards.end(), [](const shard_progress& it) {
        return it.last_error == attempt_error::rate_limited;
    });
    const bool is_paused = std::any_of(job_.targets.begin(), job_.targets.end(), [this](const auto& it) {
        return context_.servers.pause_wait(it.set).has_value();
    });
    if (!is_limited && !is_paused)
        return std::nullopt;
    // The caller is told to return when a new request of its kind would be admitted.
    const auto decision = admit(context_.servers, admission_inputs_of(job_, context_.timers.now()));
    const duration wait = decision.refusal ? decision.refusal->retry_after : refused_retry_after;
    return refused_answer{is_limited ? forward_refusal::overload : forward_refusal::refused_by_all, wait};
}

forward_answer forward_run::answer_without_reply() const {
    const bool is_late = context_.timers.now() >= job_.deadline - deadline_margin;
    if (!gather_->may_have_run()) {
        if (last_send_ && context_.timers.now() >= *last_send_)
            return refused_answer{forward_refusal::stopping, stopping_retry_after};
        if (is_late)
            return refused_answer{forward_refusal::no_time, refused_retry_after};
        if (const auto refusal = refusal_until_admitted())
            return *refusal;
        const bool was_shed =
            std::any_of(gather_->shards().begin(), gather_->shards().end(),
                        [](const shard_progress& it) { return it.last_error == attempt_error::shed; });
        return refused_answer{was_shed ? forward_refusal::refused_by_all : forward_refusal::no_server,
                              refused_retry_after};
    }
    if (is_late)
        return failed_answer{forward_failure::timed_out};
    return failed_answer{job_.via->is_gather() ? forward_failure::too_few_parts
                                               : forward_failure::connection_lost};
}

} // namespace pollengrade
