/** @file query_router.cpp Admission and lifecycle of requests. */
#include "core/queries/query_router.h"

#include <algorithm>
#include <utility>

#include "core/upstreams/shard_func.h"

namespace pollengrade {

namespace {

constexpr duration min_retry_after =
    std::chrono::milliseconds{20}; ///< lower bound of the retry time after overload
constexpr duration not_ready_retry_after =
    std::chrono::seconds{1};                ///< the node is still reading its configuration
constexpr double nearly_all_replies = 0.99; ///< quantile for the time that a request needs

} // namespace

query_router::query_router(router_parts parts) : parts_{std::move(parts)} {}

run_id query_router::submit(caller_request request, answer_hook respond) {
    const run_id id{next_run_++};
    ++parts_.counts.counter("requests");
    parts_.log.record(event_kind::request_received, request.id, request.service.value());
    if (stopping_) {
        refuse(request, refusal_reason::stopping, stopping_retry_after, respond);
        return id;
    }
    if (!ready_) {
        refuse(request, refusal_reason::not_ready, not_ready_retry_after, respond);
        return id;
    }
    const auto it = services_.find(request.service);
    if (it == services_.end()) {
        refuse(request, refusal_reason::unknown_service, {}, respond);
        return id;
    }
    service& owner = it->second;
    const service_document& document = owner.document();
    const duration wanted = request.deadline.count() > 0 ? request.deadline : document.default_deadline;
    const time_point now = parts_.timers.now();
    if (last_answer_ && now >= limit_of(document, request.query->kind).last_send) {
        refuse(request, refusal_reason::stopping, stopping_retry_after, respond);
        return id;
    }
    const time_point deadline = now + std::min(wanted, document.max_deadline);

    shard_query query = *request.query;
    query.max_rows = query.max_rows == 0 ? document.max_rows : std::min(query.max_rows, document.max_rows);
    request.query = std::make_shared<const shard_query>(std::move(query));

    if (const auto excess = excess_wait(owner, *request.query, deadline)) {
        refuse(request, refusal_reason::overload, std::max(*excess, min_retry_after), respond);
        return id;
    }
    if (request.query->kind == query_kind::order)
        run_order(owner, std::move(request), deadline, id, std::move(respond));
    else
        run_search(owner, std::move(request), deadline, id, std::move(respond));
    return id;
}

void query_router::refuse(const caller_request& request, refusal_reason reason, duration retry_after,
                          answer_hook& respond) {
    answer reply;
    reply.id = request.id;
    reply.result = reason == refusal_reason::unknown_service ? outcome::invalid : outcome::refused;
    reply.reason = reason;
    reply.retry_after = retry_after;
    if (request.query->kind == query_kind::order)
        reply.scope = refusal_scope::attempt;
    count_answer(reply, parts_.timers.now());
    respond(std::move(reply));
}

std::optional<duration> query_router::excess_wait(const service& owner, const shard_query& query,
                                                  time_point deadline) const {
    const shard_map_ptr map = owner.pin(std::nullopt);
    if (!map)
        return std::nullopt;
    const duration left = deadline - parts_.timers.now();
    const auto wait_of = [&](const shard_entry& it) {
        return parts_.servers.expected_wait(service::set_of(it), work_class{owner.document().name.value()})
            .value_or(duration{0});
    };
    duration longest{0};
    if (query.kind == query_kind::search) {
        for (const shard_entry& it : map->shards)
            longest = std::max(longest, wait_of(it));
    } else {
        longest = wait_of(shard_of_number(*map, query.number));
    }
    if (longest <= left)
        return std::nullopt;
    return longest - left;
}

void query_router::run_search(service& owner, caller_request request, time_point deadline, run_id id,
                              answer_hook respond) {
    const time_point started = parts_.timers.now();
    auto finish = [this, id, started, respond = std::move(respond)](answer reply) {
        count_answer(reply, started);
        respond(std::move(reply));
        end_run(id);
    };
    const run_context context{parts_.timers, parts_.servers, parts_.log, parts_.counts};
    auto& run = searches_[id];
    const query_kind kind = request.query->kind;
    run = std::make_unique<search_run>(context, owner, std::move(request), deadline, std::move(finish));
    if (last_answer_)
        run->limit(limit_of(owner.document(), kind));
    run->start();
}

void query_router::run_order(service& owner, caller_request request, time_point deadline, run_id id,
                             answer_hook respond) {
    const time_point started = parts_.timers.now();
    auto finish = [this, started, respond = std::move(respond)](answer reply) {
        count_answer(reply, started);
        respond(std::move(reply));
    };
    const order_context context{parts_.timers, parts_.servers,    parts_.log,   parts_.counts,
                                parts_.random, parts_.wall_clock, parts_.claims};
    auto& run = orders_[id];
    run = std::make_unique<order_run>(context, owner, std::move(request), deadline, std::move(finish),
                                      [this, id] { end_run(id); });
    if (last_answer_)
        run->limit(limit_of(owner.document(), query_kind::order));
    run->start();
}

stop_limit query_router::limit_of(const service_document& document, query_kind kind) const {
    const work_class work =
        kind == query_kind::order ? order_work_of(document.name) : work_class{document.name.value()};
    const auto usual = parts_.servers.latency_quantile(work, nearly_all_replies);
    return limit_at_stop(*last_answer_, usual.value_or(document.default_deadline));
}

void query_router::stop_by(time_point last_answer) {
    last_answer_ = last_answer;
    for (const auto& [id, run] : searches_)
        run->limit(limit_of(run->owner().document(), query_kind::search));
    for (const auto& [id, run] : orders_)
        run->limit(limit_of(run->owner().document(), query_kind::order));
}

void query_router::end_run(run_id id) {
    // The run is still on the call stack, so it is destroyed in the next event loop iteration.
    parts_.timers.schedule_after(duration{0}, [this, id] {
        searches_.erase(id);
        orders_.erase(id);
        if (stopping_ && running() == 0 && on_stopped_)
            std::exchange(on_stopped_, nullptr)();
    });
}

void query_router::count_answer(const answer& reply, time_point started) {
    ++parts_.counts.counter("answers", to_string(reply.result));
    if (reply.reason != refusal_reason::none)
        ++parts_.counts.counter("refusals", to_string(reply.reason));
    parts_.counts.distribution("request_latency").add(parts_.timers.now() - started);
    parts_.counts.counter("shards_included") += reply.included.size();
    for (const missing_shard& it : reply.missing)
        ++parts_.counts.counter("shards_missing", to_string(it.reason));
    parts_.log.record(event_kind::request_ended, reply.id, {},
                      {{event_key::outcome, to_string(reply.result)},
                       {event_key::reason, to_string(reply.reason)},
                       {event_key::included, reply.included.size()},
                       {event_key::missing, reply.missing.size()},
                       {event_key::version, reply.version.value()},
                       {event_key::took_ms, parts_.timers.now() - started}});
}

void query_router::abandon(run_id id) {
    const auto it = searches_.find(id);
    if (it == searches_.end() || it->second->is_finished())
        return;
    ++parts_.counts.counter("requests_abandoned");
    it->second->abandon();
    end_run(id);
}

bool query_router::apply_document(service_document document, object_version version) {
    const service_name name = document.name;
    auto it = services_.find(name);
    bool in_force = false;
    if (it == services_.end()) {
        it = services_.try_emplace(name, std::move(document), version, parts_.servers, parts_.holders).first;
        in_force = true;
        if (auto pending = pending_.extract(name))
            apply_snapshots(name, std::move(pending.mapped().maps), pending.mapped().version);
    } else {
        in_force = it->second.apply(std::move(document), version);
    }
    if (in_force) {
        parts_.log.record(event_kind::document_in_force, {}, name.value(),
                          {{event_key::version, version.value()}});
    }
    return in_force;
}

bool query_router::apply_snapshots(const service_name& name, std::vector<shard_map> maps,
                                   object_version version) {
    const auto it = services_.find(name);
    if (it == services_.end()) {
        pending_snapshots& pending = pending_[name];
        if (version <= pending.version)
            return false;
        pending = {std::move(maps), version};
        return true;
    }
    if (!it->second.apply_snapshots(std::move(maps), version))
        return false;
    parts_.log.record(event_kind::shard_map_in_force, {}, name.value(),
                      {{event_key::version, version.value()}});
    return true;
}

void query_router::set_holders(holder_count holders) {
    parts_.holders = holders;
    for (auto& [name, it] : services_)
        it.set_holders(holders);
}

void query_router::stop(std::function<void()> done) {
    stopping_ = true;
    on_stopped_ = std::move(done);
    parts_.log.record(event_kind::node_stopping, {}, {}, {{event_key::in_flight, running()}});
    if (running() == 0)
        end_run(run_id{});
}

} // namespace pollengrade
