/** @file delegation.cpp Choice of a holder, and of another when it does not show up. */
#include "core/queries/delegation.h"

#include <algorithm>
#include <utility>

#include "core/upstreams/placement_func.h"

namespace pollengrade {

namespace {

/** Several round trips and a busy VM's turn: a process that runs has read from a new connection by then. */
constexpr duration seen_limit = std::chrono::milliseconds{25};
constexpr duration silence_rest = std::chrono::seconds{1}; ///< a silent holder is not asked for as long
constexpr std::uint32_t holder_slots = 16;   ///< queries of one node that a holder runs at a time
constexpr std::size_t max_holders_asked = 3; ///< of one query

} // namespace

delegation::delegation(timer_queue& timers, event_log& log, metrics& counts,
                       std::function<std::uint64_t()> random, failure_domain domain, delegation_hooks hooks)
    : timers_{timers}, log_{log}, counts_{counts}, random_{std::move(random)}, domain_{std::move(domain)},
      hooks_{std::move(hooks)} {}

void delegation::submit(run_id id, delegated_request request, std::vector<node_address> holders,
                        answered done) {
    query& it = queries_[id];
    it.request = std::move(request);
    it.started = timers_.now();
    it.holders = std::move(holders);
    it.done = std::move(done);
    if (!ask_next(id))
        finish(id, std::nullopt);
}

std::optional<node_address> delegation::choose(const query& it) {
    const time_point now = timers_.now();
    std::vector<const node_address*> nodes;
    std::vector<placement_candidate> candidates;
    for (const node_address& holder : it.holders) {
        if (std::find(it.asked.begin(), it.asked.end(), holder) != it.asked.end())
            continue;
        const holder_state& state = holders_[holder];
        if (now < state.silent_until)
            continue;
        nodes.push_back(&holder);
        candidates.push_back({!state.standing.is_doubtful(now), false, hooks_.domain_of(holder) == domain_,
                              state.in_flight, holder_slots, 1});
    }
    const auto picked = place(candidates, placement_purpose::retry, random_);
    return picked ? std::optional{*nodes[*picked]} : std::nullopt;
}

bool delegation::ask_next(run_id id) {
    query& it = queries_.at(id);
    if (it.asked.size() >= max_holders_asked)
        return false;
    const auto holder = choose(it);
    if (!holder)
        return false;
    const delegation_call call{next_call_++};
    it.asked.push_back(*holder);
    it.calls[call] = *holder;
    ++holders_[*holder].in_flight;
    ++counts_.counter("queries_delegated");
    delegated_request request = it.request;
    const duration spent = timers_.now() - it.started;
    request.elapsed += spent;
    request.left -= spent;
    it.unseen = timers_.schedule_after(seen_limit, [this, id, call] { on_unseen(id, call); });
    hooks_.send(
        call, *holder, request,
        [this, id] {
            const auto found = queries_.find(id);
            if (found != queries_.end() && found->second.unseen)
                timers_.cancel(*std::exchange(found->second.unseen, std::nullopt));
        },
        [this, id, call](const std::optional<delegated_answer>& answer) { on_done(id, call, answer); });
    return true;
}

void delegation::end_call(const node_address& holder) {
    --holders_[holder].in_flight;
}

void delegation::on_unseen(run_id id, delegation_call call) {
    query& it = queries_.at(id);
    it.unseen.reset();
    const node_address holder = it.calls.at(call);
    holders_[holder].silent_until = timers_.now() + silence_rest;
    ++counts_.counter("holders_silent");
    log_.record(event_kind::request_forwarded, it.request.request->id, holder.value(),
                {{event_key::outcome, "not_seen"}, {event_key::waited_ms, timers_.now() - it.started}});
    // The call stays open: its answer is as good as another's.
    ask_next(id);
}

void delegation::on_done(run_id id, delegation_call call, const std::optional<delegated_answer>& answer) {
    const auto found = queries_.find(id);
    if (found == queries_.end())
        return;
    query& it = found->second;
    const node_address holder = it.calls.at(call);
    it.calls.erase(call);
    end_call(holder);
    const time_point now = timers_.now();
    upstream_standing& standing = holders_[holder].standing;
    if (answer && !answer->is_stale) {
        standing.on_reply(now, it.started, now - it.started, duration{0});
        log_.record(event_kind::request_forwarded, it.request.request->id, holder.value(),
                    {{event_key::outcome, "answered"},
                     {event_key::version, answer->version.value()},
                     {event_key::took_ms, now - it.started}});
        finish(id, answer);
        return;
    }
    if (!answer)
        standing.on_failure(now);
    ++counts_.counter("delegations_failed", answer ? "stale" : "no_answer");
    log_.record(
        event_kind::request_forwarded, it.request.request->id, holder.value(),
        {{event_key::outcome, answer ? "stale" : "no_answer"}, {event_key::took_ms, now - it.started}});
    if (it.unseen)
        timers_.cancel(*std::exchange(it.unseen, std::nullopt));
    if (now - it.started >= it.request.left) {
        // A holder may have run it, and nobody could run it in time any more.
        finish(id, delegated_answer{failed_answer{forward_failure::timed_out}, object_version{}, false});
        return;
    }
    if (!ask_next(id) && it.calls.empty())
        finish(id, std::nullopt);
}

void delegation::finish(run_id id, std::optional<delegated_answer> answer) {
    auto node = queries_.extract(id);
    query& it = node.mapped();
    if (it.unseen)
        timers_.cancel(*it.unseen);
    for (const auto& [call, holder] : it.calls) {
        end_call(holder);
        hooks_.cancel(call);
    }
    if (!answer)
        ++counts_.counter("queries_not_delegated");
    it.done(std::move(answer));
}

void delegation::abandon(run_id id) {
    const auto node = queries_.extract(id);
    if (node.empty())
        return;
    if (node.mapped().unseen)
        timers_.cancel(*node.mapped().unseen);
    for (const auto& [call, holder] : node.mapped().calls) {
        end_call(holder);
        hooks_.cancel(call);
    }
}

} // namespace pollengrade
