/** @file dispatcher.cpp Sending within limits, and what results say of servers. */
#include "core/upstreams/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

namespace pollengrade {

dispatcher::dispatcher(timer_queue& timers, event_log& log, metrics& counts,
                       std::function<std::uint64_t()> random, transport_hooks hooks)
    : timers_{timers}, log_{log}, counts_{counts}, random_{std::move(random)}, hooks_{std::move(hooks)} {}

upstream& dispatcher::at(const upstream_address& address) {
    return upstreams_.try_emplace(address, address, upstream_limits{}).first->second;
}

void dispatcher::set_limits(const upstream_address& address, upstream_limits limits) {
    upstream& server = at(address);
    server.set_limits(limits);
    send_waiting(server);
}

const upstream* dispatcher::find(const upstream_address& address) const {
    const auto it = upstreams_.find(address);
    return it == upstreams_.end() ? nullptr : &it->second;
}

std::optional<upstream_address> dispatcher::pick(std::span<const upstream_address> replicas,
                                                 std::span<const upstream_address> excluded,
                                                 bool for_hedge) const {
    const time_point now = timers_.now();
    std::vector<const upstream*> usable;
    usable.reserve(replicas.size());
    for (const upstream_address& it : replicas) {
        const upstream* server = find(it);
        if (server == nullptr || !server->is_usable(now))
            continue;
        if (!server->has_room() && !server->has_queue_room())
            continue;
        if (for_hedge && (server->is_shedding(now) || !server->has_room()))
            continue;
        if (std::find(excluded.begin(), excluded.end(), it) == excluded.end())
            usable.push_back(server);
    }
    if (usable.empty())
        return std::nullopt;
    const std::size_t first = random_() % usable.size();
    if (usable.size() == 1)
        return usable[first]->address();
    const std::size_t second = (first + 1 + random_() % (usable.size() - 1)) % usable.size();
    const upstream* a = usable[first];
    const upstream* b = usable[second];
    if (a->is_shedding(now) != b->is_shedding(now))
        return a->is_shedding(now) ? b->address() : a->address();
    return a->load(now) <= b->load(now) ? a->address() : b->address();
}

std::optional<duration> dispatcher::expected_wait(std::span<const upstream_address> replicas) const {
    std::optional<duration> best;
    for (const upstream_address& it : replicas) {
        const upstream* server = find(it);
        if (server == nullptr || !server->is_usable(timers_.now()))
            continue;
        const duration wait = server->expected_wait();
        if (!best || wait < *best)
            best = wait;
    }
    return best;
}

attempt_id dispatcher::submit(attempt_request request, completion done) {
    const attempt_id id{next_attempt_++};
    upstream& server = at(request.to);
    attempts_.emplace(id, attempt{std::move(request), std::move(done), {}, false});
    if (server.has_room() && !server.has_waiting())
        transmit(id);
    else
        server.enqueue(id);
    return id;
}

void dispatcher::transmit(attempt_id id) {
    attempt& it = attempts_.at(id);
    it.sent = true;
    it.sent_at = timers_.now();
    at(it.request.to).on_sent();
    hooks_.transmit(id, it.request);
}

void dispatcher::send_waiting(upstream& server) {
    while (server.has_waiting() && server.has_room() && !server.is_draining())
        transmit(server.dequeue());
}

void dispatcher::withdraw(attempt_id id) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end())
        return;
    upstream& server = at(it->second.request.to);
    const bool sent = it->second.sent;
    const duration waited = timers_.now() - it->second.sent_at;
    attempts_.erase(it);
    if (sent) {
        // Withdrawn long after a reply was due: the server, or the connection, may have gone silent.
        if (waited >= server.silence_limit())
            note_failure(server);
        server.on_outpaced(timers_.now(), waited);
        hooks_.abort(id);
        server.on_finished();
        ++counts_.counter("attempts_aborted");
    } else {
        server.remove_from_queue(id);
    }
    send_waiting(server);
}

bool dispatcher::was_sent(attempt_id id) const {
    const auto it = attempts_.find(id);
    return it != attempts_.end() && it->second.sent;
}

void dispatcher::note_result(upstream& server, const attempt& sent, const attempt_result& result) {
    const time_point now = timers_.now();
    const auto reached = [&] {
        if (server.on_reachable())
            log_.record(event_kind::upstream_reachable, {}, server.address().value());
    };
    if (result) {
        reached();
        server.on_reply(now, now - sent.sent_at, result->server_in_flight);
        server.mark_live(result->server_incarnation);
        if (result->server_draining)
            note_draining(server.address(), result->server_incarnation);
        return;
    }
    ++counts_.counter("attempt_failures", to_string(result.error().code));
    switch (result.error().code) {
    case attempt_error::not_sent:
        if (server.on_unreachable(now))
            log_.record(event_kind::upstream_unreachable, {}, server.address().value());
        break;
    case attempt_error::shed:
        reached();
        server.on_shed(now, result.error().retry_after);
        break;
    case attempt_error::draining:
        reached();
        note_draining(server.address(), server.incarnation());
        break;
    case attempt_error::version_absent:
        reached();
        break;
    default:
        note_failure(server);
        break;
    }
}

void dispatcher::note_failure(upstream& server) {
    if (server.on_failed(timers_.now()))
        log_.record(event_kind::upstream_unreachable, {}, server.address().value());
}

void dispatcher::complete(attempt_id id, attempt_result result) {
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) {
        ++counts_.counter("late_results_dropped");
        return;
    }
    const attempt ended = std::move(it->second);
    attempts_.erase(it);
    assert(ended.sent);
    upstream& server = at(ended.request.to);
    server.on_finished();
    note_result(server, ended, result);
    send_waiting(server);
    ended.done(id, std::move(result));
}

void dispatcher::note_draining(const upstream_address& address, std::string_view incarnation) {
    upstream& server = at(address);
    if (!server.mark_draining(incarnation))
        return;
    log_.record(event_kind::upstream_draining, {}, address.value());
    // What still waits was never sent: it goes elsewhere.
    while (server.has_waiting()) {
        const auto it = attempts_.find(server.dequeue());
        assert(it != attempts_.end());
        const attempt_id id = it->first;
        const completion done = std::move(it->second.done);
        attempts_.erase(it);
        done(id, tl::unexpected{attempt_failure{attempt_error::draining, {}}});
    }
}

void dispatcher::note_live(const upstream_address& address, std::string_view incarnation) {
    at(address).mark_live(incarnation);
}

} // namespace pollengrade
