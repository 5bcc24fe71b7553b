/** @file delegation.cpp Choice of a holder, and of another when it does not show up. */
#include "core/queries/delegation.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "core/upstreams/placement_func.h"

namespace pollengrade {

namespace {

/** Several round trips and a busy VM's turn: a process that runs has read from a new connection by then. */
constexpr duration seen_limit = std::chrono::milliseconds{25};
constexpr duration unknown_overhead = std::chrono::milliseconds{5}; ///< of the ways, before any is known
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

duration delegation::usual_overhead() const {
    constexpr double most = 0.9;
    return overhead_.has_enough_samples() ? overhead_.quantile(most) : unknown_overhead;
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
    it.unseen = timers_.schedule_after(seen_limit, [this, id, call] { on_unseen(id, call); });
    const duration limit = it.request.left - (timers_.now() - it.started);
    hooks_.open(
        call, *holder, limit, [this, id, call] { return on_shown(id, call); },
        [this, id, call](const std::optional<delegated_answer>& answer) { on_done(id, call, answer); });
    return true;
}

delegated_request delegation::on_shown(run_id id, delegation_call call) {
    query& it = queries_.at(id);
    assert(!it.sent);
    it.sent = call;
    it.sent_at = timers_.now();
    if (it.unseen)
        timers_.cancel(*std::exchange(it.unseen, std::nullopt));
    close_calls(it, call);
    ++counts_.counter("queries_delegated");
    delegated_request request = it.request;
    // The holder counts the ways there and back as time spent, so that its answer is here by the target.
    const duration spent = it.sent_at - it.started + usual_overhead();
    request.elapsed += spent;
    request.left -= spent;
    return request;
}

void delegation::close_calls(query& it, std::optional<delegation_call> kept) {
    for (auto open = it.calls.begin(); open != it.calls.end();) {
        if (open->first == kept) {
            ++open;
            continue;
        }
        end_call(open->second);
        hooks_.cancel(open->first);
        open = it.calls.erase(open);
    }
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
    // The call stays open: the first holder that shows itself gets the query.
    if (!ask_next(id))
        finish(id, std::nullopt);
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
    const duration took = now - it.started;
    const bool was_sent = it.sent == call;
    const char* outcome = "no_answer";
    if (answer)
        outcome = answer->is_stale ? "stale" : "answered";
    event_fields fields{{event_key::outcome, outcome}, {event_key::took_ms, took}};
    if (answer)
        fields.emplace_back(event_key::version, answer->version.value());
    log_.record(event_kind::request_forwarded, it.request.request->id, holder.value(), std::move(fields));
    upstream_standing& standing = holders_[holder].standing;
    if (answer && !answer->is_stale) {
        overhead_.add(now - it.sent_at - answer->took);
        standing.on_reply(now, it.started, took, duration{0});
        finish(id, answer);
        return;
    }
    ++counts_.counter("delegations_failed", outcome);
    if (!answer)
        standing.on_failure(now);
    if (was_sent && !answer) {
        // The holder may have run it: another would ask more servers than the route allows.
        const bool is_late = took >= it.request.left;
        const auto reason = is_late ? forward_failure::timed_out : forward_failure::connection_lost;
        finish(id, delegated_answer{failed_answer{reason}, object_version{}, {}, false});
        return;
    }
    if (was_sent)
        it.sent.reset();
    else if (it.sent)
        return;
    // A later one may still show itself.
    if (!it.calls.empty() && holder != it.asked.back())
        return;
    if (it.unseen)
        timers_.cancel(*std::exchange(it.unseen, std::nullopt));
    if (!ask_next(id))
        finish(id, std::nullopt);
}

void delegation::finish(run_id id, std::optional<delegated_answer> answer) {
    auto node = queries_.extract(id);
    query& it = node.mapped();
    if (it.unseen)
        timers_.cancel(*it.unseen);
    close_calls(it, std::nullopt);
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
    close_calls(node.mapped(), std::nullopt);
}

} // namespace pollengrade
