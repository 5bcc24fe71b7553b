/** @file forwarder.cpp Routing, admission and lifecycle of forwarded requests. */
#include "core/queries/forwarder.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "core/queries/admission.h"
#include "core/upstreams/server_pool.h"

namespace pollengrade {

namespace {

constexpr duration not_configured_retry_after =
    std::chrono::seconds{1};                ///< the node is still reading its routes
constexpr double nearly_all_replies = 0.99; ///< quantile for the time that a request needs
/** Time for a query to wait for the routes of its holder, at most half of the time that it has left. */
constexpr duration max_routes_wait = std::chrono::milliseconds{100};
constexpr duration min_time_left =
    std::chrono::milliseconds{6}; ///< with less time left, no reply can arrive in time

/** Names of an answer in logs and metrics. */
struct answer_names {
    std::string_view outcome;
    std::string_view reason;
};

answer_names names_of(const forward_answer& it) {
    if (const auto* refused = std::get_if<refused_answer>(&it))
        return {"refused", to_string(refused->reason)};
    if (const auto* failed = std::get_if<failed_answer>(&it))
        return {"failed", to_string(failed->reason)};
    if (std::holds_alternative<unroutable_answer>(it))
        return {"unroutable", ""};
    if (const auto* gathered = std::get_if<gathered_answer>(&it))
        return {gathered->missing == 0 ? "answered" : "partial", ""};
    return {"answered", ""};
}

/** @return the hooks with the departures that the dispatcher knows, and the routes in force. */
delegation_hooks with_knowledge(delegation_hooks network, const run_context& context,
                                const route_table_ptr& table) {
    network.departures_after = [context](std::uint64_t up_to) {
        return context.servers.departed().after(up_to, context.timers.now());
    };
    network.routes_in_force = [&table] { return table ? table->version() : object_version{}; };
    return network;
}

} // namespace

forwarder::forwarder(run_context context, const std::function<std::uint64_t()>& random, failure_domain domain,
                     forwarder_hooks hooks, delegation_hooks network, duration caller_round_trip)
    : context_{context}, hooks_{std::move(hooks)},
      delegation_{context.timers, context.log,       context.counts,
                  random,         std::move(domain), with_knowledge(std::move(network), context, table_)},
      timing_{caller_round_trip} {
    context_.timers.set_lateness_hook([this](duration lateness) { timing_.on_timer(lateness); });
}

forwarder::~forwarder() {
    context_.timers.set_lateness_hook(nullptr);
}

retry_budget& forwarder::budget_of(const service_name& service) {
    const auto it = budgets_.find(service);
    return it == budgets_.end() ? budgets_.emplace(service, hooks_.budget(service)).first->second
                                : it->second;
}

void forwarder::refresh_budgets() {
    for (auto& [name, it] : budgets_)
        it.set_limits(hooks_.budget(name));
}

bool forwarder::apply(route_table_ptr table) {
    if (table_ && table->version() <= table_->version())
        return false;
    table_ = std::move(table);
    context_.log.record(
        event_kind::routes_in_force, {}, {},
        {{event_key::version, table_->version().value()}, {event_key::route, table_->routes().size()}});
    std::vector<run_id> ready;
    for (const auto& [id, it] : waiting_) {
        if (it.version <= table_->version())
            ready.push_back(id);
    }
    // Holders are computed from these routes first.
    for (const run_id id : ready)
        context_.timers.schedule_after(duration{0}, [this, id] { end_wait(id); });
    return true;
}

forward_job forwarder::make_job(std::shared_ptr<const forwarded_request> request, const route& via,
                                time_point arrived, duration time_outside) {
    forward_job job;
    job.request = std::move(request);
    job.table = table_;
    job.via = &via;
    job.arrived = arrived;
    job.deadline = job.arrived + std::min(job.request->time_left.value_or(via.timeout), via.timeout);
    if (last_answer_)
        job.deadline = std::min(job.deadline, *last_answer_);
    if (via.target > time_outside)
        job.soft_deadline = job.arrived + via.target - time_outside;
    if (via.is_gather()) {
        for (const service_name& it : via.shards)
            job.targets.push_back({set_of(it), &budget_of(it)});
    } else {
        const service_name& chosen = split_.next(via.name, via.destinations);
        job.targets.push_back({set_of(chosen), &budget_of(chosen)});
    }
    return job;
}

run_id forwarder::submit(std::shared_ptr<const forwarded_request> request, forward_hook respond) {
    const run_id id{next_run_++};
    ++context_.counts.counter("requests");
    if (!table_) {
        ++context_.counts.counter("refusals", to_string(forward_refusal::not_configured));
        respond(refused_answer{forward_refusal::not_configured, not_configured_retry_after});
        return id;
    }
    const route* via = table_->find(request->host, request->path);
    if (via == nullptr) {
        ++context_.counts.counter("answers", "unroutable");
        context_.log.record(
            event_kind::request_refused, request->id, request->path,
            {{event_key::reason, "no_route"}, {event_key::version, table_->version().value()}});
        respond(unroutable_answer{});
        return id;
    }
    const time_point now = context_.timers.now();
    timing_.on_request(*via, *request, now);
    const duration outside = timing_.time_outside(*via, *request);
    forward_job job = make_job(std::move(request), *via, now, outside);
    if (ends_before(*via)) {
        refuse_stopping(job, respond);
        return id;
    }
    start(id, std::move(job), timed(std::move(respond)));
    return id;
}

void forwarder::start(run_id id, forward_job job, forward_hook respond) {
    auto holders = job.via->is_gather() ? hooks_.holders(*job.via) : std::vector<node_address>{};
    if (holders.empty())
        run_locally(id, std::move(job), std::move(respond));
    else
        delegate(id, std::move(job), std::move(holders), std::move(respond));
}

forward_hook forwarder::timed(forward_hook respond) {
    return [this, respond = std::move(respond)](forward_answer answer) {
        const time_point decided = context_.timers.now();
        respond(std::move(answer));
        timing_.on_answer_written(hooks_.precise_now() - decided);
    };
}

run_id forwarder::submit_delegated(const delegated_request& request,
                                   std::function<void(delegated_answer)> respond) {
    const run_id id{next_run_++};
    const time_point now = context_.timers.now();
    ++context_.counts.counter("queries_taken_over");
    context_.servers.note_departed(request.departed);
    const object_version version = table_ ? table_->version() : object_version{};
    note_newer_routes(request.least_version);
    const bool is_newer = request.routes_version != object_version{} && version > request.routes_version;
    if (!table_ || version < request.least_version || is_newer) {
        respond({refused_answer{forward_refusal::not_configured, duration{0}}, version, duration{0}, true});
        return id;
    }
    const route* via = table_->find(request.request->host, request.request->path);
    if (via == nullptr) {
        respond({unroutable_answer{}, version, duration{0}, false});
        return id;
    }
    if (ends_before(*via)) {
        respond({refused_answer{forward_refusal::not_configured, duration{0}}, version, duration{0}, true});
        return id;
    }
    forward_job job = make_job(request.request, *via, now - request.elapsed, duration{0});
    job.deadline = std::min({job.deadline, job.arrived + via->timeout, now + request.left});
    run_locally(id, std::move(job),
                [this, now, version, respond = std::move(respond)](forward_answer answer) {
                    const time_point end = context_.timers.now();
                    delegated_answer out{std::move(answer), version, end - now, false};
                    out.departed = context_.servers.departed().since(now, end);
                    respond(std::move(out));
                });
    return id;
}

void forwarder::delegate(run_id id, forward_job job, std::vector<node_address> holders,
                         forward_hook respond) {
    const time_point now = context_.timers.now();
    delegated_request request;
    request.request = job.request;
    request.left = job.deadline - now;
    request.elapsed = now - job.arrived;
    // The holder sees a target that ends when its answer must be here.
    if (job.soft_deadline)
        request.elapsed = now + job.via->target - *job.soft_deadline;
    request.least_version = seen_version_;
    const auto shared_job = std::make_shared<forward_job>(std::move(job));
    delegation_.submit(
        id, std::move(request), std::move(holders),
        [this, id, shared_job, respond = std::move(respond)](std::optional<delegated_answer> answer) {
            if (!answer) {
                run_locally(id, std::move(*shared_job), respond);
                return;
            }
            // The caller gets the answers of these servers from this node.
            context_.servers.note_departed(answer->departed);
            if (answer->is_declined) {
                await_routes(id, std::move(*shared_job), answer->version, respond);
                return;
            }
            seen_version_ = std::max(seen_version_, answer->version);
            note_newer_routes(answer->version);
            record_answer(*shared_job, answer->answer, 0);
            respond(std::move(answer->answer));
        });
}

void forwarder::note_newer_routes(object_version version) {
    if (version <= wanted_version_)
        return;
    wanted_version_ = version;
    if (!table_ || version > table_->version())
        hooks_.newer_routes_seen();
}

void forwarder::await_routes(run_id id, forward_job job, object_version version, forward_hook respond) {
    ++context_.counts.counter("queries_awaiting_routes");
    const time_point now = context_.timers.now();
    const bool has_routes = table_->version() >= version;
    const duration left = std::max(duration{0}, job.deadline - now);
    const duration wait = has_routes ? duration{0} : std::min(max_routes_wait, left / 2);
    const timer_id limit = context_.timers.schedule_after(wait, [this, id] { end_wait(id); });
    waiting_.insert_or_assign(id, waiting_query{std::move(job), version, std::move(respond), limit});
}

void forwarder::end_wait(run_id id) {
    auto node = waiting_.extract(id);
    if (node.empty())
        return;
    waiting_query& it = node.mapped();
    context_.timers.cancel(it.limit);
    if (table_->version() >= it.version)
        plan_again(id, it.job, std::move(it.respond));
    else
        run_locally(id, std::move(it.job), std::move(it.respond));
}

void forwarder::plan_again(run_id id, const forward_job& job, forward_hook respond) {
    const route* via = table_->find(job.request->host, job.request->path);
    if (via == nullptr) {
        ++context_.counts.counter("answers", "unroutable");
        respond(unroutable_answer{});
        return;
    }
    start(id, make_job(job.request, *via, job.arrived, timing_.time_outside(*via, *job.request)),
          std::move(respond));
}

void forwarder::stop_by(time_point last_answer) {
    last_answer_ = last_answer;
    delegation_.stop_by(last_answer);
    for (const auto& [id, run] : runs_) {
        if (!run->is_finished())
            run->limit(limit_of(*run->job().via));
    }
}

stop_limit forwarder::limit_of(const route& via) const {
    const auto usual = context_.servers.latency_quantile(work_class{via.name}, nearly_all_replies);
    return limit_at_stop(*last_answer_, std::max(via.target, usual.value_or(duration{0})));
}

bool forwarder::ends_before(const route& via) const {
    return last_answer_ && context_.timers.now() >= limit_of(via).last_send;
}

void forwarder::refuse_stopping(const forward_job& job, const forward_hook& respond) {
    const refused_answer refusal{forward_refusal::stopping, stopping_retry_after};
    record_answer(job, refusal, 0);
    respond(refusal);
}

void forwarder::run_locally(run_id id, forward_job job, forward_hook respond) {
    if (ends_before(*job.via)) {
        refuse_stopping(job, respond);
        return;
    }
    const admission_inputs inputs = admission_inputs_of(job, context_.timers.now());
    admission_decision decision;
    if (inputs.time_left < min_time_left)
        decision.refusal = refused_answer{forward_refusal::no_time, duration{0}};
    else
        decision = admit(context_.servers, inputs);
    if (decision.refusal) {
        log_refusal(job, decision, inputs.min_sets);
        record_answer(job, *decision.refusal, 0);
        respond(*decision.refusal);
        return;
    }
    auto finish_hook = [this, id, respond = std::move(respond)](forward_answer answer) {
        finish(id, answer);
        respond(std::move(answer));
    };
    auto& run = runs_[id];
    run = std::make_unique<forward_run>(context_, std::move(job), std::move(finish_hook));
    if (last_answer_)
        run->limit(limit_of(*run->job().via));
    run->start();
}

void forwarder::log_refusal(const forward_job& job, const admission_decision& decision,
                            std::size_t min_sets) {
    event_fields fields{{event_key::reason, to_string(decision.refusal->reason)},
                        {event_key::route, job.via->name},
                        {event_key::version, job.table->version().value()},
                        {event_key::servers, job.targets.size()},
                        {event_key::reachable, decision.reachable},
                        {event_key::in_time, decision.in_time},
                        {event_key::least, min_sets},
                        {event_key::retry_after_ms, decision.refusal->retry_after}};
    if (decision.longest_wait)
        fields.emplace_back(event_key::expected_wait_ms, *decision.longest_wait);
    context_.log.record(event_kind::request_refused, job.request->id, {}, std::move(fields));
}

void forwarder::finish(run_id id, const forward_answer& answer) {
    const forward_run& run = *runs_.at(id);
    record_answer(run.job(), answer, run.fan_out().hedges());
    // The run is still on the call stack, so it is destroyed in the next event loop iteration.
    context_.timers.schedule_after(duration{0}, [this, id] { runs_.erase(id); });
}

void forwarder::record_answer(const forward_job& job, const forward_answer& answer, std::uint32_t hedges) {
    const answer_names names = names_of(answer);
    const duration took = context_.timers.now() - job.arrived;
    ++context_.counts.counter("answers", names.outcome);
    if (!names.reason.empty())
        ++context_.counts.counter("refusals", names.reason);
    context_.counts.distribution("request_latency").add(took);
    event_fields fields{{event_key::outcome, names.outcome},
                        {event_key::route, job.via->name},
                        {event_key::version, job.table->version().value()},
                        {event_key::deadline_ms, job.deadline - job.arrived},
                        {event_key::took_ms, took}};
    if (!names.reason.empty())
        fields.emplace_back(event_key::reason, names.reason);
    if (hedges > 0)
        fields.emplace_back(event_key::hedges, hedges);
    if (const auto* refused = std::get_if<refused_answer>(&answer))
        fields.emplace_back(event_key::retry_after_ms, refused->retry_after);
    if (const auto* gathered = std::get_if<gathered_answer>(&answer)) {
        fields.emplace_back(event_key::included, gathered->signatures.size());
        fields.emplace_back(event_key::missing, gathered->missing);
    }
    if (const auto* proxied = std::get_if<proxied_answer>(&answer))
        fields.emplace_back(event_key::status, proxied->message.status);
    context_.log.record(event_kind::request_ended, job.request->id, {}, std::move(fields));
}

void forwarder::abandon(run_id id) {
    delegation_.abandon(id);
    if (const auto node = waiting_.extract(id); !node.empty())
        context_.timers.cancel(node.mapped().limit);
    const auto it = runs_.find(id);
    if (it == runs_.end() || it->second->is_finished())
        return;
    ++context_.counts.counter("requests_abandoned");
    context_.log.record(event_kind::request_abandoned, it->second->job().request->id, {},
                        {{event_key::took_ms, context_.timers.now() - it->second->job().arrived}});
    it->second->abandon();
    context_.timers.schedule_after(duration{0}, [this, id] { runs_.erase(id); });
}

} // namespace pollengrade
