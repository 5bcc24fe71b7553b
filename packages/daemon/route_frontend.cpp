/** @file route_frontend.cpp Connects the users' interface to the forwarder and its servers. */
#include "daemon/route_frontend.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "net/socket_func.h"
#include "platform/forward_codec.h"
#include "platform/route_decoder.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

namespace {

/** Below the limit of file descriptors that a VM allows a process. */
constexpr std::size_t max_caller_connections = 3000;
constexpr std::size_t max_balancer_connections = 16;
/** Minimum interval between computations of the holders; many nodes or servers often change together. */
constexpr duration holders_min_interval = std::chrono::milliseconds{200};
/** Interval between checks whether all replies are written. */
constexpr duration idle_check_period = std::chrono::milliseconds{20};

/** Used until routes are received; large enough to read a request and refuse it. */
constexpr caller_limits limits_without_routes{
    {std::size_t{16} * 1024, std::size_t{256} * 1024}, std::chrono::seconds{3}, std::chrono::seconds{15}};
constexpr caller_limits balancer_limits{
    {std::size_t{8} * 1024, std::size_t{1024}}, std::chrono::seconds{3}, std::chrono::seconds{60}};

} // namespace

route_frontend::route_frontend(const node_settings& settings, socket_poller& poller, caller_memory& memory,
                               run_context context, const std::function<std::uint64_t()>& random,
                               delegation_hooks network, std::function<void()> behind,
                               std::function<void()> store_watchers_changed)
    : self_{settings.peers}, callers_address_{settings.callers}, readiness_address_{settings.readiness},
      budget_{settings.budget}, context_{context}, holders_{settings.peers},
      holders_update_{context.timers, holders_min_interval, [this] { compute_holders(); }},
      store_watchers_changed_{std::move(store_watchers_changed)},
      forwarder_{context,
                 random,
                 settings.domain,
                 {[this](const route& via) {
                      const auto holders = holders_.holders_of(via);
                      const bool has_self = std::find(holders.begin(), holders.end(), self_) != holders.end();
                      return has_self ? std::vector<node_address>{}
                                      : std::vector<node_address>{holders.begin(), holders.end()};
                  },
                  [this](const service_name& service) { return budget_of(service); }, std::move(behind),
                  monotonic_now},
                 std::move(network),
                 settings.caller_round_trip},
      pool_{context.timers, context.servers,
            [this](const service_name& service) {
                return connection_plan{holders_.sharing_nodes(service), holders_.holds(service),
                                       scope_of(service)};
            }},
      callers_{poller,
               context.timers,
               memory,
               context.counts,
               connections_within_descriptors(max_caller_connections),
               {[this](exchange_id id, request_message message) { on_request(id, std::move(message)); },
                [this](exchange_id id) { on_caller_gone(id); }, [this] { return limits(); }}},
      readiness_{poller,
                 context.timers,
                 memory,
                 context.counts,
                 max_balancer_connections,
                 {[this](exchange_id id, const request_message& message) {
                      const bool is_check = is_readiness_check(message);
                      readiness_.reply(id, encode_readiness(is_check && is_ready()));
                  },
                  [](exchange_id) {}, [] { return balancer_limits; }}} {}

retry_budget_limits route_frontend::budget_of(const service_name& service) const {
    // This node's share of the budget that all nodes have together. If only some nodes hold a service's
    // connections, they send nearly all of its requests; the other nodes get no slack, only the retries that
    // their own few requests earn.
    constexpr double headroom = 0.9; // Budgets may be checked over windows with other boundaries.
    const double slack =
        holders_.holds(service)
            ? budget_.slack / assumed_nodes(holders_.sharing_nodes(service), scope_of(service))
            : 0;
    return {budget_.ratio * headroom, slack * headroom, budget_.window};
}

sharing_scope route_frontend::scope_of(const service_name& service) const {
    return holders_.is_held_by_selected_nodes(service) ? sharing_scope::selected_nodes
                                                       : sharing_scope::all_nodes;
}

void route_frontend::compute_holders() {
    holders_.update(forwarder_.table(), nodes_, pool_.places());
    pool_.on_plan_changed();
    forwarder_.refresh_budgets();
    store_watchers_changed_();
}

void route_frontend::on_server(const server_entry& entry, bool removed) {
    if (pool_.on_entry(entry, removed))
        holders_update_.trigger();
}

tl::expected<void, listen_error> route_frontend::listen() {
    if (const auto started = readiness_.listen(readiness_address_.value()); !started)
        return started;
    return callers_.listen(callers_address_.value());
}

bool route_frontend::apply(const config_entry& entry) {
    if (entry.key.kind != config_kind::routes)
        return false;
    auto table = decode_routes(entry.text);
    if (!table) {
        ++context_.counts.counter("routes_rejected", to_string(table.error()));
        context_.log.record(
            event_kind::routes_rejected, {}, entry.key.name,
            {{event_key::revision, entry.version.value()}, {event_key::reason, to_string(table.error())}});
        return false;
    }
    if (forwarder_.apply(*table)) {
        holders_.update(*table, nodes_, pool_.places());
        pool_.on_routes(**table);
        forwarder_.refresh_budgets();
    }
    return true;
}

void route_frontend::on_nodes(std::span<const member> nodes) {
    nodes_.assign(nodes.begin(), nodes.end());
    compute_holders();
    pool_.on_nodes_changed();
}

bool route_frontend::is_ready() const {
    return configured_ && !leaving_ && forwarder_.table() != nullptr;
}

caller_limits route_frontend::limits() const {
    const route_table_ptr& table = forwarder_.table();
    if (!table)
        return limits_without_routes;
    const route_limits& it = table->limits();
    return {{it.header_bytes, it.body_bytes}, it.header_timeout, it.idle_timeout};
}

void route_frontend::on_request(exchange_id id, request_message message) {
    auto request = decode_request(std::move(message));
    if (!request) {
        ++context_.counts.counter("bad_requests");
        callers_.reply(id, reply_to_bad_request());
        return;
    }
    const auto answered = std::make_shared<bool>(false);
    const request_id name = (*request)->id;
    const run_id run =
        forwarder_.submit(std::move(*request), [this, id, name, answered](forward_answer answer) {
            *answered = true;
            runs_.erase(id);
            callers_.reply(id, encode_answer(std::move(answer), name));
        });
    if (!*answered)
        runs_[id] = run;
}

void route_frontend::on_caller_gone(exchange_id id) {
    if (const auto node = runs_.extract(id); !node.empty())
        forwarder_.abandon(node.mapped());
}

void route_frontend::start_leaving(const stop_schedule& schedule) {
    leaving_ = true;
    callers_.disable_keep_alive();
    forwarder_.stop_by(schedule.last_answer);
    context_.timers.schedule_at(schedule.last_answer, [this] { callers_.stop_accepting(); });
}

void route_frontend::stop(std::function<void()> done) {
    stopped_ = std::move(done);
    end_when_idle();
}

void route_frontend::end_when_idle() {
    callers_.close_idle();
    if (callers_.open_exchanges() == 0) {
        if (stopped_)
            std::exchange(stopped_, nullptr)();
        return;
    }
    context_.timers.schedule_after(idle_check_period, [this] { end_when_idle(); });
}

void route_frontend::describe(json_writer& out) const {
    out.name("routes").begin_object();
    const route_table_ptr& table = forwarder_.table();
    out.member("version", table ? table->version().value() : std::uint64_t{0});
    out.member("count", table ? std::uint64_t{table->routes().size()} : std::uint64_t{0}).end_object();
}

} // namespace pollengrade
