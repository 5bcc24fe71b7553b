/** @file search_run.cpp Pinning of a snapshot, merging of rows, and replanning. */
#include "core/queries/search_run.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

#include "core/upstreams/shard_func.h"

namespace pollengrade {

namespace {

constexpr std::uint32_t max_attempts_per_shard = 4; ///< first attempt, hedges and retries together
constexpr duration deadline_margin =
    std::chrono::milliseconds{3}; ///< reserved for sending the answer to the caller
constexpr duration refused_retry_after = std::chrono::milliseconds{50}; ///< when a refused caller may retry
constexpr std::size_t whole_percent = 100;

} // namespace

search_run::search_run(run_context context, service& owner, caller_request request, time_point deadline,
                       answer_hook finish)
    : context_{context}, service_{owner}, request_{std::move(request)}, started_{context.timers.now()},
      deadline_{deadline}, finish_{std::move(finish)} {
    assert(request_.query->kind != query_kind::order);
}

void search_run::start() {
    plan(service_.pin(std::nullopt));
}

gather_plan search_run::make_plan() const {
    const service_document& document = service_.document();
    gather_plan plan;
    plan.request = request_.id;
    plan.work = work_class{service_.document().name.value()};
    for (const shard_entry* it : entries_)
        plan.targets.push_back({service::set_of(*it), &service_.budget()});
    plan.deadline = deadline_ - deadline_margin;
    if (document.preference == answer_preference::tail) {
        plan.soft_deadline = started_ + document.tail_cut;
        plan.sufficient_shards =
            (document.min_coverage_percent * entries_.size() + whole_percent - 1) / whole_percent;
    }
    plan.is_repeat = replanned_;
    plan.max_attempts = max_attempts_per_shard;
    plan.is_hedging = document.hedge_enabled;
    plan.min_hedge_delay = document.hedge_min_delay;
    plan.refusals_bypass_budget = true;
    return plan;
}

void search_run::plan(shard_map_ptr map) {
    map_ = std::move(map);
    entries_.clear();
    rows_.clear();
    if (!map_) {
        finish();
        return;
    }
    if (request_.query->kind == query_kind::lookup) {
        entries_.push_back(&shard_of_number(*map_, request_.query->number));
    } else {
        for (const shard_entry& it : map_->shards)
            entries_.push_back(&it);
    }
    context_.log.record(event_kind::snapshot_pinned, request_.id, request_.service.value(),
                        {{event_key::version, map_->version.value()}, {event_key::shard, entries_.size()}});
    gather_hooks hooks;
    hooks.content = [this](std::size_t index) {
        return index_request{request_.service, entries_[index]->id, map_->version, request_.query};
    };
    hooks.merge_reply = [this](std::size_t index, attempt_reply& reply) { return merge_reply(index, reply); };
    hooks.version_refused = [this](std::size_t index) {
        const shard_progress& shard = gather_->shards()[index];
        return shard.refused_versions >= entries_[index]->replicas.size() && replan();
    };
    hooks.finished = [this] { finish(); };
    gather_ = std::make_unique<gather>(context_, make_plan(), std::move(hooks));
    if (limit_)
        gather_->limit(*limit_);
    gather_->start();
}

std::optional<attempt_error> search_run::merge_reply(std::size_t index, attempt_reply& reply) {
    auto* part = std::get_if<shard_reply>(&reply);
    if (part == nullptr)
        return attempt_error::malformed;
    if (part->request != request_.id || part->shard != entries_[index]->id)
        return attempt_error::wrong_request;
    if (part->version != map_->version)
        return attempt_error::wrong_version;
    std::move(part->rows.begin(), part->rows.end(), std::back_inserter(rows_));
    return std::nullopt;
}

bool search_run::replan() {
    if (replanned_)
        return false;
    shard_map_ptr other = service_.pin(map_->version);
    if (!other)
        return false;
    replanned_ = true;
    may_have_run_ = may_have_run_ || gather_->may_have_run();
    gather_->abandon(cancel_reason::superseded);
    retired_ = std::move(gather_);
    ++context_.counts.counter("queries_replanned");
    context_.log.record(event_kind::query_replanned, request_.id, request_.service.value(),
                        {{event_key::version, other->version.value()}});
    plan(std::move(other));
    return true;
}

void search_run::limit(const stop_limit& limit) {
    limit_ = {limit.last_send, limit.last_answer - deadline_margin};
    if (gather_)
        gather_->limit(*limit_);
}

void search_run::abandon() {
    if (std::exchange(finished_, true))
        return;
    if (gather_)
        gather_->abandon(cancel_reason::caller_gone);
}

void search_run::finish() {
    if (std::exchange(finished_, true))
        return;
    answer reply;
    reply.id = request_.id;
    if (!map_) {
        reply.result = outcome::refused;
        reply.reason = refusal_reason::no_snapshot;
        reply.retry_after = refused_retry_after;
        finish_(std::move(reply));
        return;
    }
    reply.version = map_->version;
    for (std::size_t n = 0; n < entries_.size(); ++n) {
        const shard_progress& shard = gather_->shards()[n];
        if (shard.included)
            reply.included.push_back(entries_[n]->id);
        else
            reply.missing.push_back({entries_[n]->id, shard.reason});
    }
    merge_rows(rows_, request_.query->max_rows);
    reply.rows = std::move(rows_);
    if (reply.missing.empty()) {
        reply.result = outcome::answered;
    } else if (reply.included.empty() && !may_have_run_ && !gather_->may_have_run()) {
        reply.result = outcome::refused;
        reply.reason = refusal_reason::upstream_refused;
        reply.retry_after = refused_retry_after;
    } else {
        reply.result = outcome::partial;
    }
    finish_(std::move(reply));
}

} // namespace pollengrade
