/** @file node.cpp Connects the components of a node. */
#include "daemon/node.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "daemon/document_frontend.h"
#include "daemon/route_frontend.h"
#include "http/codec.h"
#include "http/index_codec.h"
#include "platform/forward_codec.h"
#include "runtime/logging.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

/** Delay after changes before the next watch of servers, which change in bursts. */
constexpr duration servers_min_interval = std::chrono::milliseconds{700};
/** Delay after changes before the next watch of routes, whose changes must be in force within seconds. */
constexpr duration routes_min_interval = std::chrono::milliseconds{300};

/** Heartbeats without a sign of life after which the platform removes a server's entry. */
constexpr int heartbeats_in_lifetime = 3;

/** Content type of the Prometheus text format. */
constexpr std::string_view metrics_type = "text/plain; version=0.0.4";

config_kind config_kind_of(object_kind it) {
    switch (it) {
    case object_kind::service_document:
        return config_kind::service_document;
    case object_kind::shard_maps:
        return config_kind::shard_maps;
    default:
        return config_kind::routes;
    }
}

/** @return the codec for attempts, in our own wire format or the users'. */
upstream_codec make_codec() {
    upstream_codec codec;
    codec.encode = [](const upstream_identity& server, const attempt_request& request, duration left) {
        if (const auto* own = std::get_if<index_request>(&request.content))
            return encode_index_request(*own, request.request, left);
        return encode_forwarded(*std::get<std::shared_ptr<const forwarded_request>>(request.content), server,
                                left);
    };
    codec.decode = [](const attempt_request& request, reply_message reply) {
        if (std::holds_alternative<index_request>(request.content))
            return decode_index_reply(reply);
        return decode_forwarded(request.request, std::move(reply));
    };
    codec.read_rate = read_rate_statement;
    codec.states_leaving = states_leaving;
    codec.read_pause = read_pause_statement;
    return codec;
}

} // namespace

node::node(node_settings settings, loop_clock& clock, std::function<std::uint64_t()> random)
    : settings_{std::move(settings)}, clock_{clock}, random_{std::move(random)}, log_{wall_now},
      poller_{clock_}, platform_{poller_, clock_.timers(), log_, counts_, settings_.platform},
      replies_{reply_memory_limit(settings_.memory), clock_.timers(), log_, counts_,
               upstream_network::replies_hooks_of(network_)},
      caller_memory_{caller_memory_limit(settings_.memory), clock_.timers(), counts_},
      servers_{
          clock_.timers(), log_, counts_, random_, settings_.domain, upstream_network::hooks_of(network_)},
      registry_{clock_.timers(), log_, counts_,
                [this](const server_entry& entry, bool removed) { frontend_->on_server(entry, removed); },
                registry_settings{settings_.server_heartbeat * heartbeats_in_lifetime}},
      store_{[this](const config_entry& entry) { return apply(entry); }}, frontend_{make_frontend()},
      cluster_{settings_,
               clock_,
               log_,
               counts_,
               store_,
               registry_,
               random_,
               {[this] { check_complete(); },
                [this](std::span<const member> live) {
                    frontend_->on_nodes(live);
                    update_store_watchers();
                },
                [this](const delegated_request& request, std::function<void(delegated_answer)> respond) {
                    return frontend_->run_query(request, std::move(respond));
                },
                [this](run_id id) { frontend_->cancel_query(id); },
                [this] {
                    for (object_watcher* it : shared_)
                        it->check();
                },
                [this] { update_store_watchers(); }}},
      operators_{
          poller_,
          clock_.timers(),
          caller_memory_,
          counts_,
          {{"/metrics", {std::string{metrics_type}, [this] { return counts_.render(); }}},
           {"/status", {"application/json", [this] { return status() + "\n"; }}},
           {"/timeline", {"application/json", [this] { return encode_events(settings_.name, log_) + "\n"; }}},
           {"/healthz", {"application/json", [] { return std::string{"{\"healthy\":true}\n"}; }}}}} {
    servers_.set_max_pause(settings_.max_pause);
    network_ = std::make_unique<upstream_network>(poller_, clock_.timers(), servers_, replies_, make_codec(),
                                                  settings_.source);
    if (settings_.interface == interface_kind::routes) {
        add_watcher(object_kind::routes, routes_min_interval);
    } else {
        add_watcher(object_kind::service_document, duration{0});
        add_watcher(object_kind::shard_maps, duration{0});
    }
    add_watcher(object_kind::servers, servers_min_interval);
}

std::unique_ptr<frontend> node::make_frontend() {
    const run_context context{clock_.timers(), servers_, log_, counts_};
    if (settings_.interface == interface_kind::routes)
        return std::make_unique<route_frontend>(
            settings_, poller_, caller_memory_, context, random_, make_delegation_hooks(),
            [this] { cluster_.configuration().pull_from_peers(); }, [this] { update_store_watchers(); });
    return std::make_unique<document_frontend>(settings_, poller_, caller_memory_,
                                               router_parts{servers_, clock_.timers(), log_, counts_, random_,
                                                            wall_now, platform_.claim_hooks(),
                                                            holder_count{1}});
}

delegation_hooks node::make_delegation_hooks() {
    // cluster_ is constructed after frontend_, so the hooks access it only when they are called.
    delegation_hooks it;
    it.open = [this](delegation_call id, const node_address& to, duration limit,
                     const std::function<delegated_request()>& acknowledged,
                     std::function<void(std::optional<delegated_answer>)> done) {
        auto take = [this, to, asked_at = clock_.timers().now(),
                     done = std::move(done)](std::optional<delegated_answer> answer) {
            if (answer)
                cluster_.on_holder_answer(to, *answer, asked_at);
            done(std::move(answer));
        };
        cluster_.calls().forward(id, to, limit, acknowledged, std::move(take));
    };
    it.cancel = [this](delegation_call id) { cluster_.calls().cancel(id); };
    it.domain_of = [this](const node_address& at) { return cluster_.nodes().domain_of(at); };
    return it;
}

void node::update_store_watchers() {
    cluster_.set_store_watchers(frontend_->is_divided(), frontend_->is_store_watcher(),
                                frontend_->store_watchers());
    for (const auto& it : watchers_)
        it->on_store_watcher_changed();
}

void node::add_watcher(object_kind kind, duration min_interval) {
    object_watcher_hooks hooks;
    hooks.list = [this, kind](duration limit, bool allow_stale, object_watcher_hooks::listed done) {
        platform_.list(kind, limit, allow_stale, std::move(done));
    };
    hooks.watch = [this, kind](object_version after, duration wait, duration limit,
                               object_watcher_hooks::watched done) {
        platform_.watch(kind, after, wait, limit, std::move(done));
    };
    hooks.replaced = [this, kind](const object_list& list) { on_objects_listed(kind, list); };
    hooks.changed = [this, kind](const object_changes& changes) { on_objects_changed(kind, changes); };
    hooks.reached = [this](bool reached) { on_store_reached(reached); };
    // Relays pass on documents and shard maps only. Nodes with our own interface all watch servers' entries,
    // as these are not exchanged between nodes while the store answers.
    const bool is_relayed = settings_.interface == interface_kind::documents && kind != object_kind::servers;
    hooks.is_store_watcher = [this, is_relayed] {
        const bool is_own_duty = is_relayed ? cluster_.is_relay() : frontend_->is_store_watcher();
        return is_own_duty || cluster_.watches_for_others();
    };
    hooks.confirmed = [this] { on_store_confirmed(); };
    watchers_.push_back(
        std::make_unique<object_watcher>(clock_.timers(), random_, min_interval, std::move(hooks)));
    if (is_relayed || settings_.interface == interface_kind::routes)
        shared_.push_back(watchers_.back().get());
}

tl::expected<void, listen_error> node::start() {
    log_.record(event_kind::node_started, {}, settings_.name,
                {{event_key::address, settings_.callers.value()},
                 {event_key::domain, settings_.domain.value()},
                 {event_key::limit_bytes, settings_.memory}});
    if (const auto started = operators_.listen(settings_.operators); !started)
        return started;
    if (const auto started = frontend_->listen(); !started)
        return started;
    if (const auto started = cluster_.start(); !started)
        return started;
    for (const auto& it : watchers_)
        it->start();
    return {};
}

void node::add_config_entry(object_kind kind, const stored_object& object,
                            std::vector<config_entry>& entries) {
    if (const auto* text = std::get_if<std::string>(&object.content))
        entries.push_back({{config_kind_of(kind), object.name}, object.version, *text});
    else
        ++counts_.counter("config_unreadable");
}

void node::on_objects_listed(object_kind kind, const object_list& list) {
    if (kind == object_kind::servers) {
        registry_.replace(list);
    } else {
        std::vector<config_entry> entries;
        for (const stored_object& it : list.objects)
            add_config_entry(kind, it, entries);
        cluster_.configuration().take(entries);
    }
    check_complete();
}

void node::on_objects_changed(object_kind kind, const object_changes& changes) {
    if (kind == object_kind::servers) {
        registry_.apply(changes);
        cluster_.announce();
        return;
    }
    std::vector<config_entry> entries;
    for (const object_change& it : changes.changes) {
        if (!it.removed)
            add_config_entry(kind, it.object, entries);
    }
    cluster_.configuration().take(entries);
    cluster_.announce();
}

bool node::apply(const config_entry& entry) {
    const bool is_accepted = frontend_->apply(entry);
    update_store_watchers();
    return is_accepted;
}

void node::on_store_reached(bool reached) {
    cluster_.on_store_reached(reached);
}

void node::on_store_confirmed() {
    time_point oldest = time_point::max();
    for (const object_watcher* it : shared_)
        oldest = std::min(oldest, it->confirmed_at());
    cluster_.on_store_confirmed(oldest);
}

void node::check_complete() {
    const bool all_listed =
        std::all_of(watchers_.begin(), watchers_.end(), [](const auto& it) { return it->is_listed(); });
    if (all_listed && !cluster_.configuration().is_complete())
        cluster_.configuration().set_complete();
    if (cluster_.configuration().is_complete() && registry_.revision() != object_version{})
        on_configured();
}

void node::on_configured() {
    const bool was_ready = frontend_->is_ready();
    frontend_->set_ready();
    if (!was_ready && frontend_->is_ready())
        log_.record(event_kind::node_ready, {}, settings_.name,
                    {{event_key::revision, registry_.revision().value()}});
}

void node::stop(std::function<void()> done) {
    if (std::exchange(leaving_, true))
        return;
    stopped_ = std::move(done);
    log_.record(event_kind::node_stopping, {}, settings_.name,
                {{event_key::in_flight, frontend_->running()}});
    cluster_.leave();
    const stop_schedule schedule = plan_stop(clock_.timers().now(), settings_.grace);
    frontend_->start_leaving(schedule);
    clock_.timers().schedule_at(schedule.idle_end, [this] { frontend_->stop([this] { end(); }); });
    clock_.timers().schedule_at(schedule.end, [this] { end(); });
}

void node::end() {
    if (!stopped_)
        return;
    log_.record(event_kind::node_stopped, {}, settings_.name, {{event_key::in_flight, frontend_->running()}});
    std::exchange(stopped_, nullptr)();
}

void node::reload(const node_settings& settings) {
    const bool can_apply = settings.callers == settings_.callers && settings.peers == settings_.peers;
    cluster_.set_seeds(settings.seeds);
    log_.record(event_kind::settings_reloaded, {}, settings_.name,
                {{event_key::outcome, can_apply ? "in_force" : "needs_a_restart"}});
}

std::string node::status() const {
    json_writer out;
    out.begin_object();
    out.member("node", settings_.name).member("failure_domain", settings_.domain.value());
    out.member("callers", settings_.callers.value()).member("operators", settings_.operators.value());
    out.member("ready", frontend_->is_ready())
        .member("leaving", leaving_)
        .member("running", std::uint64_t{frontend_->running()});
    out.member("relay", cluster_.is_relay())
        .member("in_touch", cluster_.nodes().is_in_touch())
        .member("registry_revision", registry_.revision().value());
    if (const auto age = cluster_.confirmation_age())
        out.member("confirmation_age_ms", static_cast<std::uint64_t>(to_milliseconds(*age)));
    out.name("nodes").begin_array();
    for (const member& it : cluster_.nodes().all()) {
        out.begin_object().member("name", it.name).member("address", it.address.value());
        out.member("operators", it.operators.value()).member("failure_domain", it.domain.value());
        out.member("state", to_string(it.state)).end_object();
    }
    out.end_array();
    frontend_->describe(out);
    out.name("upstreams").begin_array();
    const time_point now = clock_.timers().now();
    for (const auto& [id, it] : servers_.upstreams()) {
        const upstream_condition condition = it.condition(now);
        out.begin_object().member("id", id.value()).member("address", it.address().value());
        out.member("draining", it.is_leaving());
        out.member("usable",
                   condition == upstream_condition::ready || condition == upstream_condition::degraded);
        out.member("connections", it.open_connections()).member("in_flight", it.in_flight()).end_object();
    }
    return out.end_array().end_object().take();
}

} // namespace pollengrade
