/** @file gather.cpp State machine of one scatter-gather request. */
#include "core/queries/gather.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "core/queries/hedge_func.h"
#include "core/queries/retry_choice.h"

namespace pollengrade {

namespace {

constexpr double hedge_quantile =
    0.9; ///< of reply times, for the hedge delay; servers that pause lie above it
constexpr duration unsent_recheck_interval =
    std::chrono::milliseconds{5}; ///< between checks of an attempt not sent yet, which is not hedged

/** Servers that refuse do so within a round trip: by then a query knows all shards that were refused. */
constexpr duration refusals_known_delay = std::chrono::milliseconds{5};
/** Share of the budget above which each failed shard is asked again at once. */
constexpr double ample_budget = 0.5;

missing_reason reason_of(std::optional<attempt_error> last_error) {
    if (!last_error)
        return missing_reason::no_replica;
    switch (*last_error) {
    case attempt_error::shed:
    case attempt_error::rate_limited:
        return missing_reason::load_shed;
    case attempt_error::version_absent:
        return missing_reason::version_absent;
    case attempt_error::not_sent:
    case attempt_error::draining:
    case attempt_error::wrong_server:
        return missing_reason::no_replica;
    default:
        return missing_reason::failed;
    }
}

} // namespace

gather::gather(run_context context, gather_plan plan, gather_hooks hooks)
    : context_{context}, plan_{std::move(plan)}, hooks_{std::move(hooks)} {}

gather::~gather() {
    abandon(cancel_reason::superseded);
}

void gather::start() {
    defers_finish_ = true;
    const time_point now = context_.timers.now();
    shards_.resize(plan_.targets.size());
    unsettled_ = shards_.size();
    timers_.push_back(context_.timers.schedule_at(std::max(now, plan_.deadline),
                                                  [this] { settle_remaining(missing_reason::deadline); }));
    if (plan_.soft_deadline && *plan_.soft_deadline < plan_.deadline)
        timers_.push_back(context_.timers.schedule_at(*plan_.soft_deadline, [this] { finish_if_decided(); }));
    for (std::size_t n = 0; n < shards_.size() && !finished_; ++n) {
        shards_[n].started = now;
        if (!plan_.is_repeat) {
            plan_.targets[n].budget->on_needed_request(now);
            ++context_.counts.counter("shard_requests_needed");
        }
        const bool may_use_trial = plan_.is_idempotent && !trial_used_;
        const auto purpose = may_use_trial ? placement_purpose::first : placement_purpose::no_trial;
        if (const auto reason = send_attempt(n, purpose))
            settle(n, *reason);
        else
            arm_hedge(n);
    }
    defers_finish_ = false;
    log_plan();
    finish_if_decided();
}

void gather::limit(const stop_limit& limit) {
    if (finished_)
        return;
    const time_point now = context_.timers.now();
    last_send_ = limit.last_send;
    plan_.deadline = std::min(plan_.deadline, limit.last_answer);
    timers_.push_back(
        context_.timers.schedule_at(std::max(now, limit.last_send), [this] { give_up_unsent(); }));
    timers_.push_back(context_.timers.schedule_at(std::max(now, plan_.deadline),
                                                  [this] { settle_remaining(missing_reason::deadline); }));
}

void gather::give_up_unsent() {
    defers_finish_ = true;
    for (std::size_t n = 0; n < shards_.size(); ++n) {
        shard_progress& shard = shards_[n];
        if (shard.settled || shard.live.empty())
            continue;
        std::erase_if(shard.live, [this](attempt_id id) {
            if (context_.servers.was_sent(id))
                return false;
            context_.servers.cancel(id, cancel_reason::superseded);
            return true;
        });
        if (shard.live.empty())
            settle(n, missing_reason::deadline);
    }
    defers_finish_ = false;
    finish_if_decided();
}

void gather::log_plan() {
    std::string servers;
    for (const shard_progress& it : shards_) {
        if (!servers.empty())
            servers += ',';
        const auto server = it.live.empty() ? std::nullopt : context_.servers.server_of(it.live.front());
        servers += server ? server->value() : std::string{it.live.empty() ? "none" : "waits"};
    }
    context_.log.record(event_kind::query_planned, plan_.request, plan_.work.value(),
                        {{event_key::shard, shards_.size()},
                         {event_key::least, plan_.min_shards},
                         {event_key::servers, std::move(servers)}});
}

std::vector<upstream_id> gather::contacted_servers(const shard_progress& shard) const {
    std::vector<upstream_id> list = shard.tried;
    for (const attempt_id id : shard.live) {
        if (auto server = context_.servers.server_of(id))
            list.push_back(std::move(*server));
    }
    return list;
}

bool gather::has_unsent_attempt(const shard_progress& shard) const {
    return std::any_of(shard.live.begin(), shard.live.end(),
                       [this](attempt_id id) { return !context_.servers.was_sent(id); });
}

bool gather::is_reply_expected(const shard_progress& shard) const {
    return shard.awaits_choice || std::any_of(shard.live.begin(), shard.live.end(), [this](attempt_id id) {
               const auto server = context_.servers.server_of(id);
               const upstream* it = server ? context_.servers.find(*server) : nullptr;
               return it == nullptr || !it->is_silent();
           });
}

bool gather::awaits_only_silent_servers() const {
    return std::none_of(shards_.begin(), shards_.end(),
                        [this](const shard_progress& it) { return !it.settled && is_reply_expected(it); });
}

bool gather::exceeds_rate_limits(const attempt_request& request) const {
    const duration wait = context_.servers.rate_wait(request.set, request.excluded);
    if (wait.count() == 0)
        return false;
    const time_point now = context_.timers.now();
    const bool may_be_in_time = plan_.soft_deadline && *plan_.soft_deadline > now;
    const time_point latest = may_be_in_time ? *plan_.soft_deadline : plan_.deadline;
    return now + wait + context_.servers.latency_quantile(plan_.work, hedge_quantile).value_or(duration{0}) >
           latest;
}

bool gather::may_join_crowd(const attempt_request& request) const {
    return context_.servers.answers_within(request.set, plan_.work, request.target - context_.timers.now());
}

std::optional<missing_reason> gather::send_attempt(std::size_t index, placement_purpose purpose) {
    if (last_send_ && context_.timers.now() >= *last_send_)
        return missing_reason::deadline;
    shard_progress& shard = shards_[index];
    attempt_request request;
    request.excluded = contacted_servers(shard);
    if (request.excluded.size() >= plan_.max_attempts)
        return missing_reason::failed;
    request.set = plan_.targets[index].set;
    const availability found = context_.servers.availability_of(request.set, request.excluded, purpose);
    if (found == availability::none)
        return missing_reason::no_replica;
    request.target = plan_.soft_deadline.value_or(plan_.deadline);
    const bool may_queue =
        found != availability::crowded || (purpose == placement_purpose::first && may_join_crowd(request));
    if (found == availability::full || !may_queue || exceeds_rate_limits(request))
        return missing_reason::load_shed;
    ++context_.counts.counter("shard_requests_sent");
    request.work = plan_.work;
    request.request = plan_.request;
    request.deadline = plan_.deadline;
    request.priority = plan_.priority;
    request.purpose = purpose;
    request.content = hooks_.content(index);
    const attempt_id id = context_.servers.submit(
        std::move(request), [this, index](const attempt_end& end) { on_end(index, end); });
    shard.live.push_back(id);
    if (purpose == placement_purpose::first) {
        const auto server = context_.servers.server_of(id);
        const upstream* sent = server ? context_.servers.find(*server) : nullptr;
        trial_used_ = sent != nullptr && sent->health().is_degraded(context_.timers.now());
    }
    return std::nullopt;
}

void gather::arm_hedge(std::size_t index) {
    if (!plan_.is_hedging)
        return;
    const time_point now = context_.timers.now();
    hedge_inputs inputs{context_.servers.latency_quantile(plan_.work, hedge_quantile), std::nullopt,
                        plan_.min_hedge_delay};
    if (plan_.soft_deadline)
        inputs.target = *plan_.soft_deadline - now;
    const duration delay = hedge_delay(inputs);
    if (now + delay >= plan_.deadline)
        return;
    shards_[index].hedge = context_.timers.schedule_after(delay, [this, index] { hedge(index); });
}

void gather::hedge(std::size_t index) {
    shard_progress& shard = shards_[index];
    shard.hedge.reset();
    assert(!shard.settled);
    if (shard.awaits_choice)
        return; // A retry, if it is chosen, arms the hedge again.
    if (has_unsent_attempt(shard)) {
        shard.hedge =
            context_.timers.schedule_after(unsent_recheck_interval, [this, index] { hedge(index); });
        return;
    }
    retry_budget& budget = *plan_.targets[index].budget;
    const time_point now = context_.timers.now();
    if (!budget.try_take(now)) {
        ++context_.counts.counter("hedges_over_budget");
        return;
    }
    if (send_attempt(index, placement_purpose::hedge)) {
        budget.give_back(now);
        return;
    }
    ++hedges_;
    ++context_.counts.counter("hedges_sent");
    context_.log.record(
        event_kind::shard_hedged, plan_.request, plan_.targets[index].set.value(),
        {{event_key::server, context_.servers.server_of(shard.live.back()).value_or(upstream_id{}).value()},
         {event_key::waited_ms, now - shard.started}});
    arm_hedge(index);
}

void gather::on_end(std::size_t index, const attempt_end& end) {
    if (finished_)
        return;
    shard_progress& shard = shards_[index];
    const auto it = std::find(shard.live.begin(), shard.live.end(), end.id);
    assert(it != shard.live.end());
    shard.live.erase(it);
    if (!end.server.value().empty())
        shard.tried.push_back(end.server);
    if (!end.result) {
        const attempt_error code = end.result.error().code;
        may_have_run_ = may_have_run_ || !proves_not_run(code);
        on_failure(index, end, code);
        return;
    }
    may_have_run_ = true;
    if (shard.retried)
        plan_.targets[index].budget->on_retry_ended(true);
    attempt_reply reply = *end.result;
    if (const auto wrong = hooks_.merge_reply(index, reply)) {
        ++context_.counts.counter("replies_rejected", to_string(*wrong));
        on_failure(index, end, *wrong);
        return;
    }
    ++included_;
    settle(index, std::nullopt);
}

void gather::on_failure(std::size_t index, const attempt_end& end, attempt_error code) {
    shard_progress& shard = shards_[index];
    shard.last_error = code;
    context_.log.record(event_kind::attempt_failed, plan_.request, plan_.targets[index].set.value(),
                        {{event_key::server, end.server.value()},
                         {event_key::cause, to_string(code)},
                         {event_key::send_state, to_string(end.state)},
                         {event_key::took_ms, end.took}});
    if (code == attempt_error::version_absent || code == attempt_error::wrong_version)
        ++shard.refused_versions;
    if (hooks_.version_refused && shard.refused_versions > 0 && hooks_.version_refused(index))
        return;
    if (!shard.live.empty())
        return;
    if (shard.retried)
        plan_.targets[index].budget->on_retry_ended(false);
    if (code == attempt_error::rate_limited) {
        settle(index, reason_of(code));
        return;
    }
    if (defers_retry(index, code)) {
        shard.awaits_choice = true;
        if (!std::exchange(choice_pending_, true))
            timers_.push_back(
                context_.timers.schedule_after(refusals_known_delay, [this] { choose_retries(); }));
        return;
    }
    if (!retry(index, code))
        settle(index, reason_of(code));
}

bool gather::is_retry_free(attempt_error code) const {
    // A request that was never sent has put no load on any server.
    return code == attempt_error::not_sent || (plan_.refusals_bypass_budget && proves_not_run(code));
}

bool gather::defers_retry(std::size_t index, attempt_error code) const {
    if (is_retry_free(code) || !plan_.is_idempotent || shards_.size() == 1)
        return false;
    retry_budget& budget = *plan_.targets[index].budget;
    const time_point now = context_.timers.now();
    return budget.left(now) >= 1 && budget.share_left(now) < ample_budget;
}

void gather::choose_retries() {
    choice_pending_ = false;
    const time_point now = context_.timers.now();
    retry_inputs inputs;
    inputs.shards = shards_.size();
    inputs.success_rate = 0;
    for (std::size_t n = 0; n < shards_.size(); ++n) {
        if (!shards_[n].awaits_choice)
            continue;
        ++inputs.failed;
        inputs.success_rate += plan_.targets[n].budget->success_rate();
        inputs.budget_left = std::min(inputs.budget_left, plan_.targets[n].budget->share_left(now));
    }
    inputs.success_rate /= static_cast<double>(std::max<std::size_t>(1, inputs.failed));
    const std::size_t without = included_ + unsettled_ - inputs.failed;
    inputs.needed = plan_.min_shards > without ? plan_.min_shards - without : 0;
    const bool is_worthwhile = is_retry_worthwhile(inputs);
    if (!is_worthwhile)
        context_.counts.counter("retries_not_worthwhile") += inputs.failed;
    defers_finish_ = true;
    for (std::size_t n = 0; n < shards_.size(); ++n) {
        if (!std::exchange(shards_[n].awaits_choice, false))
            continue;
        const attempt_error code = shards_[n].last_error.value_or(attempt_error::not_sent);
        if (!is_worthwhile || !retry(n, code))
            settle(n, reason_of(code));
    }
    defers_finish_ = false;
    finish_if_decided();
}

bool gather::retry(std::size_t index, attempt_error code) {
    if (!plan_.is_idempotent && !proves_not_run(code))
        return false;
    const bool is_free = is_retry_free(code);
    retry_budget& budget = *plan_.targets[index].budget;
    const time_point now = context_.timers.now();
    if (!is_free && !budget.try_take(now)) {
        ++context_.counts.counter("retries_over_budget");
        return false;
    }
    if (send_attempt(index, placement_purpose::retry)) {
        if (!is_free)
            budget.give_back(now);
        return false;
    }
    shards_[index].retried = true;
    ++context_.counts.counter(is_free ? "retries_not_run" : "retries_sent");
    context_.log.record(
        event_kind::shard_retried, plan_.request, plan_.targets[index].set.value(),
        {{event_key::cause, to_string(code)},
         {event_key::server,
          context_.servers.server_of(shards_[index].live.back()).value_or(upstream_id{}).value()},
         {event_key::waited_ms, now - shards_[index].started}});
    if (!shards_[index].hedge)
        arm_hedge(index);
    return true;
}

void gather::cancel_attempts(shard_progress& shard, cancel_reason why) {
    if (shard.hedge)
        context_.timers.cancel(*shard.hedge);
    shard.hedge.reset();
    for (const attempt_id id : std::exchange(shard.live, {})) {
        may_have_run_ = may_have_run_ || context_.servers.was_sent(id);
        context_.servers.cancel(id, why);
    }
}

void gather::settle(std::size_t index, std::optional<missing_reason> reason) {
    shard_progress& shard = shards_[index];
    assert(!shard.settled);
    shard.settled = true;
    shard.included = !reason;
    if (reason) {
        shard.reason = *reason;
        std::string servers;
        for (const upstream_id& it : contacted_servers(shard))
            servers += (servers.empty() ? "" : ",") + it.value();
        context_.log.record(event_kind::shard_missing, plan_.request, plan_.targets[index].set.value(),
                            {{event_key::reason, to_string(*reason)},
                             {event_key::asked, servers.empty() ? "none" : servers},
                             {event_key::waited_ms, context_.timers.now() - shard.started}});
    }
    cancel_attempts(shard, cancel_reason::superseded);
    --unsettled_;
    finish_if_decided();
}

void gather::settle_remaining(missing_reason reason) {
    for (std::size_t n = 0; n < shards_.size() && !finished_; ++n) {
        if (!shards_[n].settled) {
            const bool was_sent = !shards_[n].tried.empty() || !shards_[n].live.empty();
            settle(n, was_sent ? reason : missing_reason::no_replica);
        }
    }
}

void gather::finish_if_decided() {
    if (finished_ || defers_finish_)
        return;
    if (unsettled_ == 0) {
        finish();
        return;
    }
    const bool has_too_few = included_ + unsettled_ < plan_.min_shards;
    const bool has_enough = plan_.soft_deadline && included_ >= plan_.sufficient_shards && included_ > 0;
    // An attempt that is left behind at a silent server goes on, and shows when the server replies again.
    const bool is_cut_short =
        has_enough && (context_.timers.now() >= *plan_.soft_deadline || awaits_only_silent_servers());
    if (!has_too_few && !is_cut_short)
        return;
    // Set first, because settle() calls this function again.
    defers_finish_ = true;
    settle_remaining(is_cut_short ? missing_reason::tail_cut : missing_reason::failed);
    defers_finish_ = false;
    finish();
}

void gather::abandon(cancel_reason why) {
    if (std::exchange(finished_, true))
        return;
    for (const timer_id id : timers_)
        context_.timers.cancel(id);
    for (shard_progress& it : shards_)
        cancel_attempts(it, why);
}

void gather::finish() {
    if (finished_)
        return;
    abandon(cancel_reason::superseded);
    hooks_.finished();
}

} // namespace pollengrade
