/** @file delegation.cpp Choice of a holder, and of another one after an ack timeout. */
#include "core/queries/delegation.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "core/upstreams/placement_func.h"

namespace pollengrade {

namespace {

/** Several round trips and the scheduling delay of a busy VM: by then a running process has read from a new
 * connection. */
constexpr duration ack_timeout = std::chrono::milliseconds{25};
constexpr duration default_overhead = std::chrono::milliseconds{5}; ///< used until overheads are known
constexpr duration silent_holder_backoff =
    std::chrono::seconds{1};                     ///< a silent holder is not called for this time
constexpr std::uint32_t holder_slots = 16;       ///< concurrent queries of one node at a holder
constexpr std::size_t max_holders_per_query = 3; ///< then this node runs the query

} // namespace

delegation::delegation(timer_queue& timers, event_log& log, metrics& counts,
                       std::function<std::uint64_t()> random, failure_domain domain, delegation_hooks hooks)
    : timers_{timers}, log_{log}, counts_{counts}, random_{std::move(random)}, domain_{std::move(domain)},
      hooks_{std::move(hooks)} {}

void delegation::submit(run_id id, delegated_request request, std::vector<node_address> holders,
                        answer_callback done) {
    query& it = queries_[id];
    it.request = std::move(request);
    it.started = timers_.now();
    it.holders = std::move(holders);
    it.done = std::move(done);
    if (!contact_next(id))
        finish(id, std::nullopt);
}

std::optional<node_address> delegation::choose_holder(const query& it) {
    const time_point now = timers_.now();
    std::vector<const node_address*> nodes;
    std::vector<placement_candidate> candidates;
    for (const node_address& holder : it.holders) {
        if (std::find(it.contacted.begin(), it.contacted.end(), holder) != it.contacted.end())
            continue;
        const holder_state& state = holders_[holder];
        if (now < state.silent_until)
            continue;
        nodes.push_back(&holder);
        candidates.push_back({!state.health.is_degraded(now), false, hooks_.domain_of(holder) == domain_,
                              state.in_flight, holder_slots, 1});
    }
    const auto picked = place(candidates, placement_purpose::retry, random_);
    return picked ? std::optional{*nodes[*picked]} : std::nullopt;
}

duration delegation::expected_overhead() const {
    constexpr double usual_quantile = 0.9;
    return overhead_.has_enough_samples() ? overhead_.quantile(usual_quantile) : default_overhead;
}

bool delegation::contact_next(run_id id) {
    query& it = queries_.at(id);
    if (it.contacted.size() >= max_holders_per_query)
        return false;
    const auto holder = choose_holder(it);
    if (!holder)
        return false;
    const delegation_call call{next_call_++};
    it.contacted.push_back(*holder);
    it.calls[call] = *holder;
    ++holders_[*holder].in_flight;
    it.ack_timer = timers_.schedule_after(ack_timeout, [this, id, call] { on_ack_timeout(id, call); });
    const duration limit = it.request.left - (timers_.now() - it.started);
    hooks_.open(
        call, *holder, limit, [this, id, call] { return on_acknowledged(id, call); },
        [this, id, call](const std::optional<delegated_answer>& answer) { on_done(id, call, answer); });
    return true;
}

delegated_request delegation::on_acknowledged(run_id id, delegation_call call) {
    query& it = queries_.at(id);
    assert(!it.sent_call);
    it.sent_call = call;
    it.sent_at = timers_.now();
    if (it.ack_timer)
        timers_.cancel(*std::exchange(it.ack_timer, std::nullopt));
    cancel_calls(it, call);
    ++counts_.counter("queries_delegated");
    delegated_request request = it.request;
    // The network time both ways is counted as time spent, so that the answer arrives by the target.
    const duration spent = it.sent_at - it.started + expected_overhead();
    request.elapsed += spent;
    request.left -= spent;
    if (hooks_.routes_in_force) {
        it.sent_version = hooks_.routes_in_force();
        request.routes_version = it.sent_version;
        request.least_version = std::max(request.least_version, it.sent_version);
    }
    if (hooks_.departures_after) {
        departure_news news = hooks_.departures_after(holders_[it.calls.at(call)].told_up_to);
        request.departed = std::move(news.servers);
        it.told_up_to = news.up_to;
    }
    return request;
}

void delegation::cancel_calls(query& it, std::optional<delegation_call> kept) {
    for (auto open = it.calls.begin(); open != it.calls.end();) {
        if (open->first == kept) {
            ++open;
            continue;
        }
        release_holder(open->second);
        hooks_.cancel(open->first);
        open = it.calls.erase(open);
    }
}

void delegation::release_holder(const node_address& holder) {
    --holders_[holder].in_flight;
}

void delegation::on_ack_timeout(run_id id, delegation_call call) {
    query& it = queries_.at(id);
    it.ack_timer.reset();
    const node_address holder = it.calls.at(call);
    holders_[holder].silent_until = timers_.now() + silent_holder_backoff;
    holders_[holder].told_up_to = 0;
    ++counts_.counter("holders_silent");
    log_.record(event_kind::request_forwarded, it.request.request->id, holder.value(),
                {{event_key::outcome, "not_seen"}, {event_key::waited_ms, timers_.now() - it.started}});
    // The call stays open: the first holder to acknowledge is sent the query.
    if (!contact_next(id))
        finish(id, std::nullopt);
}

void delegation::on_done(run_id id, delegation_call call, const std::optional<delegated_answer>& answer) {
    const auto found = queries_.find(id);
    if (found == queries_.end())
        return;
    query& it = found->second;
    const node_address holder = it.calls.at(call);
    it.calls.erase(call);
    release_holder(holder);
    const time_point now = timers_.now();
    const duration took = now - it.started;
    const bool was_sent = it.sent_call == call;
    const char* outcome = "no_answer";
    if (answer)
        outcome = answer->is_declined ? "declined" : "answered";
    event_fields fields{{event_key::outcome, outcome}, {event_key::took_ms, took}};
    if (answer)
        fields.emplace_back(event_key::version, answer->version.value());
    log_.record(event_kind::request_forwarded, it.request.request->id, holder.value(), std::move(fields));
    holder_state& state = holders_[holder];
    if (!answer)
        state.told_up_to = 0;
    else if (was_sent)
        state.told_up_to = std::max(state.told_up_to, it.told_up_to);
    upstream_health& health = state.health;
    if (answer && !answer->is_declined) {
        overhead_.add(now - it.sent_at - answer->took);
        health.on_reply(now, it.started, took, duration{0});
        finish(id, answer);
        return;
    }
    ++counts_.counter("delegations_failed", outcome);
    if (!answer)
        health.on_failure(now);
    const bool is_behind = it.sent_version != object_version{} && answer && answer->version > it.sent_version;
    if (was_sent && is_behind) {
        finish(id, answer);
        return;
    }
    if (was_sent && !answer) {
        // The holder may have run the query: another one would exceed the servers that the route allows.
        const bool is_late = took >= it.request.left;
        const auto reason = is_late ? forward_failure::timed_out : forward_failure::connection_lost;
        finish(id, delegated_answer{failed_answer{reason}, object_version{}, {}, false});
        return;
    }
    if (was_sent)
        it.sent_call.reset();
    else if (it.sent_call)
        return;
    // A holder called later may still acknowledge.
    if (!it.calls.empty() && holder != it.contacted.back())
        return;
    if (it.ack_timer)
        timers_.cancel(*std::exchange(it.ack_timer, std::nullopt));
    if (!contact_next(id))
        finish(id, std::nullopt);
}

void delegation::finish(run_id id, std::optional<delegated_answer> answer) {
    auto node = queries_.extract(id);
    query& it = node.mapped();
    if (it.ack_timer)
        timers_.cancel(*it.ack_timer);
    cancel_calls(it, std::nullopt);
    if (!answer)
        ++counts_.counter("queries_not_delegated");
    it.done(std::move(answer));
}

void delegation::stop_by(time_point last_answer) {
    timers_.schedule_at(std::max(timers_.now(), last_answer), [this] { end_all(); });
}

void delegation::end_all() {
    std::vector<run_id> ids;
    for (const auto& [id, it] : queries_)
        ids.push_back(id);
    for (const run_id id : ids) {
        const auto it = queries_.find(id);
        if (it == queries_.end())
            continue;
        // A holder that was sent the query may have run it.
        if (it->second.sent_call)
            finish(id,
                   delegated_answer{failed_answer{forward_failure::timed_out}, object_version{}, {}, false});
        else
            finish(id, std::nullopt);
    }
}

void delegation::abandon(run_id id) {
    const auto node = queries_.extract(id);
    if (node.empty())
        return;
    if (node.mapped().ack_timer)
        timers_.cancel(*node.mapped().ack_timer);
    cancel_calls(node.mapped(), std::nullopt);
}

} // namespace pollengrade
