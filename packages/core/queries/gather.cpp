/** @file gather.cpp The state machine of one query. */
#include "core/queries/gather.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "core/upstreams/shard_func.h"

namespace pollengrade {

namespace {

constexpr std::size_t max_attempts_per_shard = 4; ///< first attempt, hedges and retries together
constexpr duration deadline_margin = std::chrono::milliseconds{3};      ///< left for the answer's way back
constexpr duration refused_retry_after = std::chrono::milliseconds{50}; ///< told when servers shed

missing_reason reason_of(std::optional<attempt_error> last_error) {
    if (!last_error)
        return missing_reason::no_replica;
    switch (*last_error) {
    case attempt_error::shed:
        return missing_reason::load_shed;
    case attempt_error::version_absent:
        return missing_reason::version_absent;
    case attempt_error::not_sent:
    case attempt_error::draining:
        return missing_reason::no_replica;
    default:
        return missing_reason::failed;
    }
}

} // namespace

gather::gather(gather_context context, service& owner, caller_request request, time_point deadline,
               answer_hook finish)
    : context_{context}, service_{owner}, request_{std::move(request)}, deadline_{deadline},
      finish_{std::move(finish)} {
    assert(request_.query->kind != query_kind::order);
}

gather::~gather() {
    abandon();
}

void gather::start() {
    plan(service_.pin(std::nullopt));
    if (finished_)
        return;
    const time_point now = context_.timers.now();
    timers_.push_back(context_.timers.schedule_at(std::max(now, deadline_ - deadline_margin), [this] {
        settle_remaining(missing_reason::deadline);
        finish();
    }));
    const service_document& document = service_.document();
    if (document.preference == answer_preference::tail)
        timers_.push_back(context_.timers.schedule_after(document.tail_cut, [this] { on_tail_cut(); }));
}

void gather::plan(shard_map_ptr map) {
    map_ = std::move(map);
    shards_.clear();
    rows_.clear();
    if (map_) {
        if (request_.query->kind == query_kind::lookup) {
            shards_.push_back({});
            shards_.back().entry = &shard_of_number(*map_, request_.query->number);
        } else {
            shards_.resize(map_->shards.size());
            for (std::size_t n = 0; n < shards_.size(); ++n)
                shards_[n].entry = &map_->shards[n];
        }
        context_.log.record(event_kind::query_planned, request_.id, request_.service.value(),
                            static_cast<std::int64_t>(map_->version.value()));
    }
    unsettled_ = shards_.size();
    const shard_map_ptr planned = map_;
    for (std::size_t n = 0; n < shards_.size() && !finished_ && map_ == planned; ++n) {
        if (!replanned_) {
            service_.budget().on_needed_request();
            ++context_.counts.counter("shard_requests_needed");
        }
        launch(n);
    }
    if (unsettled_ == 0 && !finished_)
        finish();
}

void gather::launch(std::size_t index) {
    shard_progress& shard = shards_[index];
    shard.started = context_.timers.now();
    if (!send_attempt(index, false)) {
        const bool any_usable = context_.servers.expected_wait(shard.entry->replicas).has_value();
        settle(index, any_usable ? missing_reason::load_shed : missing_reason::no_replica);
        return;
    }
    arm_hedge(index);
}

bool gather::send_attempt(std::size_t index, bool is_hedge) {
    shard_progress& shard = shards_[index];
    if (shard.tried.size() >= max_attempts_per_shard)
        return false;
    const auto server = context_.servers.pick(shard.entry->replicas, shard.tried, is_hedge);
    if (!server)
        return false;
    shard.tried.push_back(*server);
    ++context_.counts.counter("shard_requests_sent");
    attempt_request attempt{*server,       request_.service, request_.id,   shard.entry->id,
                            map_->version, deadline_,        request_.query};
    shard.live.push_back(
        context_.servers.submit(std::move(attempt), [this, index](attempt_id id, attempt_result result) {
            on_result(index, id, std::move(result));
        }));
    return true;
}

void gather::arm_hedge(std::size_t index) {
    if (!service_.document().hedge_enabled)
        return;
    shard_progress& shard = shards_[index];
    const duration delay = service_.hedge_delay(shard.entry->id);
    if (context_.timers.now() + delay >= deadline_ - deadline_margin)
        return;
    shard.hedge = context_.timers.schedule_after(delay, [this, index] { hedge(index); });
}

void gather::hedge(std::size_t index) {
    shard_progress& shard = shards_[index];
    shard.hedge.reset();
    assert(!shard.settled);
    if (!service_.budget().try_take()) {
        ++context_.counts.counter("hedges_over_budget");
        return;
    }
    if (!send_attempt(index, true)) {
        service_.budget().give_back();
        return;
    }
    ++context_.counts.counter("hedges_sent");
    context_.log.record(event_kind::shard_hedged, request_.id, shard.tried.back().value(),
                        static_cast<std::int64_t>(shard.entry->id.value()));
    arm_hedge(index);
}

std::optional<attempt_error> gather::mismatch(const shard_progress& shard, const shard_reply& reply) const {
    if (reply.request != request_.id || reply.shard != shard.entry->id)
        return attempt_error::wrong_request;
    if (reply.version != map_->version)
        return attempt_error::wrong_version;
    return std::nullopt;
}

void gather::on_result(std::size_t index, attempt_id id, attempt_result result) {
    if (finished_ || index >= shards_.size())
        return;
    shard_progress& shard = shards_[index];
    const auto it = std::find(shard.live.begin(), shard.live.end(), id);
    if (it == shard.live.end())
        return; // An attempt of an earlier plan.
    shard.live.erase(it);
    if (!result) {
        may_have_run_ = may_have_run_ || !proves_not_run(result.error().code);
        on_failure(index, result.error().code);
        return;
    }
    may_have_run_ = true;
    if (const auto wrong = mismatch(shard, *result)) {
        ++context_.counts.counter("replies_rejected", to_string(*wrong));
        on_failure(index, *wrong);
        return;
    }
    service_.add_latency(shard.entry->id, context_.timers.now() - shard.started);
    std::move(result->rows.begin(), result->rows.end(), std::back_inserter(rows_));
    settle(index, std::nullopt);
}

void gather::on_failure(std::size_t index, attempt_error code) {
    shard_progress& shard = shards_[index];
    shard.last_error = code;
    if (code == attempt_error::version_absent || code == attempt_error::wrong_version)
        ++shard.absent;
    if (shard.absent > 0 && shard.absent >= shard.entry->replicas.size() && replan())
        return;
    if (!shard.live.empty())
        return;
    // A server that did not run the request has had no load from it: asking another costs nothing extra.
    const bool is_free = proves_not_run(code);
    if (is_free || service_.budget().try_take()) {
        if (send_attempt(index, false)) {
            ++context_.counts.counter(is_free ? "retries_not_run" : "retries_sent");
            context_.log.record(event_kind::shard_retried, request_.id, shard.tried.back().value(),
                                static_cast<std::int64_t>(shard.entry->id.value()));
            return;
        }
        if (!is_free)
            service_.budget().give_back();
    }
    if (shard.absent > 0 && replan())
        return;
    settle(index, reason_of(code));
}

bool gather::replan() {
    if (replanned_)
        return false;
    shard_map_ptr other = service_.pin(map_->version);
    if (!other)
        return false;
    replanned_ = true;
    for (shard_progress& it : shards_)
        withdraw_attempts(it);
    ++context_.counts.counter("queries_replanned");
    context_.log.record(event_kind::query_replanned, request_.id, request_.service.value(),
                        static_cast<std::int64_t>(other->version.value()));
    plan(std::move(other));
    return true;
}

void gather::withdraw_attempts(shard_progress& shard) {
    if (shard.hedge)
        context_.timers.cancel(*shard.hedge);
    shard.hedge.reset();
    for (const attempt_id id : std::exchange(shard.live, {})) {
        may_have_run_ = may_have_run_ || context_.servers.was_sent(id);
        context_.servers.withdraw(id);
    }
}

void gather::settle(std::size_t index, std::optional<missing_reason> reason) {
    shard_progress& shard = shards_[index];
    assert(!shard.settled);
    shard.settled = true;
    shard.included = !reason;
    if (reason)
        shard.reason = *reason;
    withdraw_attempts(shard);
    --unsettled_;
    if (unsettled_ == 0)
        finish();
}

void gather::settle_remaining(missing_reason reason) {
    for (std::size_t n = 0; n < shards_.size() && !finished_; ++n) {
        if (!shards_[n].settled)
            settle(n, shards_[n].tried.empty() ? missing_reason::no_replica : reason);
    }
}

std::size_t gather::included_count() const {
    return static_cast<std::size_t>(
        std::count_if(shards_.begin(), shards_.end(), [](const shard_progress& it) { return it.included; }));
}

void gather::on_tail_cut() {
    const std::uint64_t percent = shards_.empty() ? 0 : included_count() * 100 / shards_.size();
    if (finished_ || percent < service_.document().min_coverage_percent)
        return;
    settle_remaining(missing_reason::tail_cut);
}

void gather::abandon() {
    if (std::exchange(finished_, true))
        return;
    for (const timer_id id : timers_)
        context_.timers.cancel(id);
    for (shard_progress& it : shards_)
        withdraw_attempts(it);
}

void gather::finish() {
    if (finished_)
        return;
    answer reply;
    reply.id = request_.id;
    if (map_)
        reply.version = map_->version;
    for (const shard_progress& it : shards_) {
        if (it.included)
            reply.included.push_back(it.entry->id);
        else
            reply.missing.push_back({it.entry->id, it.reason});
    }
    merge_rows(rows_, request_.query->max_rows);
    reply.rows = std::move(rows_);
    if (!map_) {
        reply.result = outcome::refused;
        reply.reason = refusal_reason::no_snapshot;
    } else if (reply.missing.empty()) {
        reply.result = outcome::answered;
    } else if (reply.included.empty() && !may_have_run_) {
        reply.result = outcome::refused;
        reply.reason = refusal_reason::upstream_refused;
    } else {
        reply.result = outcome::partial;
    }
    if (reply.result == outcome::refused)
        reply.retry_after = refused_retry_after;
    abandon();
    finish_(std::move(reply));
}

} // namespace pollengrade
