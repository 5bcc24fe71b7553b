/** @file route_front.cpp How the users' interface is joined. */
#include "daemon/route_front.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "platform/forward_codec.h"
#include "platform/route_decoder.h"

namespace pollengrade {

namespace {

constexpr std::size_t max_caller_connections = 3000; ///< under the descriptors that a VM allows a process
constexpr std::size_t max_balancer_connections = 16;
/** Between two computations of the holders: nodes and servers come and go many at a time. */
constexpr duration holders_rest = std::chrono::milliseconds{200};
constexpr duration idle_check_period = std::chrono::milliseconds{20}; ///< while replies are being written

/** Before any routes are known: enough to read a request and refuse it. */
constexpr caller_limits limits_without_routes{
    {std::size_t{16} * 1024, std::size_t{256} * 1024}, std::chrono::seconds{3}, std::chrono::seconds{15}};
constexpr caller_limits balancer_limits{
    {std::size_t{8} * 1024, std::size_t{1024}}, std::chrono::seconds{3}, std::chrono::seconds{60}};

} // namespace

route_front::route_front(const node_settings& settings, socket_poller& poller, run_context context,
                         const std::function<std::uint64_t()>& random, delegation_hooks network,
                         std::function<void()> behind, std::function<void()> store_watchers_changed)
    : self_{settings.peers}, callers_address_{settings.callers}, readiness_address_{settings.readiness},
      budget_{settings.budget}, context_{context}, holders_{settings.peers},
      holders_update_{context.timers, holders_rest, [this] { compute_holders(); }},
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
                  [this](const service_name& service) { return budget_of(service); }, std::move(behind)},
                 std::move(network)},
      pool_{context.timers, context.servers,
            [this](const service_name& service) {
                return connection_plan{holders_.sharing(service), holders_.holds(service), form_of(service)};
            }},
      callers_{poller,
               context.timers,
               max_caller_connections,
               {[this](exchange_id id, request_message message) { on_request(id, std::move(message)); },
                [this](exchange_id id) { on_gone(id); }, [this] { return limits(); }}},
      readiness_{poller,
                 context.timers,
                 max_balancer_connections,
                 {[this](exchange_id id, const request_message& message) {
                      const bool is_asked = is_readiness_check(message);
                      readiness_.reply(id, encode_readiness(is_asked && is_ready()));
                  },
                  [](exchange_id) {}, [] { return balancer_limits; }}} {}

retry_budget_limits route_front::budget_of(const service_name& service) const {
    // One node's share of what all may send together. Where some nodes hold a service's connections, they do
    // nearly all the sending: the others' share is only what their own few requests earn.
    constexpr double headroom = 0.9; // Windows are cut differently where they are counted.
    const double slack = holders_.holds(service)
                             ? budget_.slack / assumed_nodes(holders_.sharing(service), form_of(service))
                             : 0;
    return {budget_.ratio * headroom, slack * headroom, budget_.window};
}

sharing_scope route_front::form_of(const service_name& service) const {
    return holders_.is_held_by_few(service) ? sharing_scope::selected_nodes : sharing_scope::all_nodes;
}

void route_front::compute_holders() {
    holders_.update(forwarder_.table(), nodes_, pool_.places());
    pool_.on_plan_changed();
    forwarder_.refresh_budgets();
    store_watchers_changed_();
}

void route_front::on_server(const server_entry& entry, bool removed) {
    if (pool_.on_entry(entry, removed))
        holders_update_.trigger();
}

tl::expected<void, listen_error> route_front::listen() {
    if (const auto started = readiness_.listen(readiness_address_.value()); !started)
        return started;
    return callers_.listen(callers_address_.value());
}

bool route_front::apply(const config_entry& entry) {
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

void route_front::on_nodes(std::span<const member> nodes) {
    nodes_.assign(nodes.begin(), nodes.end());
    compute_holders();
    pool_.on_nodes_changed();
}

bool route_front::is_ready() const {
    return configured_ && !leaving_ && forwarder_.table() != nullptr;
}

caller_limits route_front::limits() const {
    const route_table_ptr& table = forwarder_.table();
    if (!table)
        return limits_without_routes;
    const route_limits& it = table->limits();
    return {{it.header_bytes, it.body_bytes}, it.header_timeout, it.idle_timeout};
}

void route_front::on_request(exchange_id id, request_message message) {
    auto request = decode_request(std::move(message));
    if (!request) {
        ++context_.counts.counter("bad_requests");
        callers_.reply(id, reply_to_bad_request());
        return;
    }
    const auto answered = std::make_shared<bool>(false);
    const request_id name = (*request)->id;
    const run_id run =
        forwarder_.submit(std::move(*request), [this, id, name, answered](const forward_answer& answer) {
            *answered = true;
            runs_.erase(id);
            callers_.reply(id, encode_answer(answer, name));
        });
    if (!*answered)
        runs_[id] = run;
}

void route_front::on_gone(exchange_id id) {
    if (const auto node = runs_.extract(id); !node.empty())
        forwarder_.abandon(node.mapped());
}

void route_front::start_leaving() {
    leaving_ = true;
    callers_.disable_keep_alive();
}

void route_front::stop(std::function<void()> done) {
    stopped_ = std::move(done);
    end_when_idle();
}

void route_front::end_when_idle() {
    callers_.close_idle();
    if (callers_.open_exchanges() == 0) {
        if (stopped_)
            std::exchange(stopped_, nullptr)();
        return;
    }
    context_.timers.schedule_after(idle_check_period, [this] { end_when_idle(); });
}

void route_front::describe(json_writer& out) const {
    out.name("routes").begin_object();
    const route_table_ptr& table = forwarder_.table();
    out.member("version", table ? table->version().value() : std::uint64_t{0});
    out.member("count", table ? std::uint64_t{table->routes().size()} : std::uint64_t{0}).end_object();
}

} // namespace pollengrade
