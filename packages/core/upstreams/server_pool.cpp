/** @file server_pool.cpp Connection shares and replica sets. */
#include "core/upstreams/server_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace pollengrade {

namespace {

/** Minimum number of nodes assumed: all nodes may be starting, so that few are known yet. */
constexpr std::uint32_t min_assumed_nodes = 6;
/** Spare shares for nodes that join, or whose dead connections a server still counts. */
constexpr std::uint32_t reserved_nodes = 2;
/** Selected nodes per spare share: a node that was replaced may still hold its connections. */
constexpr std::uint32_t nodes_per_replacement = 4;
/** Many clients at once fill a short queue, also when the servers need only a moment for all of them. */
constexpr queue_limits max_waiting{16, 256};
constexpr std::uint32_t unknown_connections = 1; ///< for a service that the routes do not describe

/** Servers need about this long to detect that the connections of a VM without power are dead. */
constexpr duration startup_time = std::chrono::seconds{10};
/**
 * A node that starts together with all others does not know them yet and would consider itself a holder. It
 * opens connections only on demand until it has discovered no new node for this long, which is longer than
 * the interval between two reads of member lists.
 */
constexpr duration settle_time = std::chrono::milliseconds{500};
constexpr duration max_settle_time = std::chrono::seconds{2}; ///< by then all nodes know each other

/** Time for which nodes that are gone may only have lost contact; longer than a partition usually lasts. */
constexpr duration lost_contact_time = std::chrono::seconds{60};
/** Factor by which nodes that lost contact may exceed a stated rate together. */
constexpr double max_rate_growth = 1.3;
/**
 * A node that does not hold a service's connections sends it requests only if no holder answers it. Its share
 * of a stated rate is this fraction of a holder's.
 */
constexpr double non_holder_share = 1.0 / 16;

} // namespace

void rate_sharing_count::on_count(time_point now, std::uint32_t nodes) {
    const bool has_fallen = nodes < nodes_ && nodes_ >= value(now);
    if (has_fallen) {
        before_ = std::max(nodes_, now < fell_at_ + lost_contact_time ? before_ : 0);
        fell_at_ = now;
    }
    nodes_ = nodes;
}

double rate_sharing_count::value(time_point now) const {
    const double held = now < fell_at_ + lost_contact_time ? before_ / max_rate_growth : 0;
    return std::max({1.0, static_cast<double>(nodes_), held});
}

std::optional<time_point> rate_sharing_count::falls_at() const {
    return before_ > nodes_ ? std::optional{fell_at_ + lost_contact_time} : std::nullopt;
}

server_pool::server_pool(timer_queue& timers, dispatcher& servers,
                         std::function<connection_plan(const service_name&)> plan)
    : timers_{timers}, servers_{servers}, plan_{std::move(plan)}, started_{timers.now()} {
    await_settling();
    timers.schedule_after(startup_time, [this] {
        just_started_ = false;
        publish_all();
    });
}

void server_pool::await_settling() {
    if (settled_)
        timers_.cancel(*settled_);
    const time_point when = std::min(timers_.now() + settle_time, started_ + max_settle_time);
    settled_ = timers_.schedule_at(when, [this] {
        settled_.reset();
        settling_ = false;
        publish_all();
    });
}

void server_pool::on_nodes_changed() {
    if (settling_)
        await_settling();
}

std::uint32_t connection_share_after_start(std::uint32_t max_connections, std::uint32_t nodes,
                                           sharing_scope scope) {
    const std::uint32_t sharing =
        std::max(nodes, scope == sharing_scope::selected_nodes ? std::uint32_t{1} : min_assumed_nodes);
    const std::uint32_t each = max_connections / sharing;
    return std::max(1U, each - std::min(each, connection_share(max_connections, nodes, scope)));
}

std::uint32_t assumed_nodes(std::uint32_t nodes, sharing_scope scope) {
    if (scope == sharing_scope::selected_nodes)
        return std::max(1U, nodes) + (nodes + nodes_per_replacement - 1) / nodes_per_replacement;
    return std::max(nodes, min_assumed_nodes) + reserved_nodes;
}

std::uint32_t connection_share(std::uint32_t max_connections, std::uint32_t nodes, sharing_scope scope) {
    return std::max(1U, max_connections / assumed_nodes(nodes, scope));
}

replica_set_name set_of(const service_name& service) {
    return replica_set_name{service.value()};
}

void server_pool::publish(const server_entry& entry) {
    const auto known = max_connections_.find(entry.service);
    const std::uint32_t max_connections =
        known == max_connections_.end() ? unknown_connections : known->second;
    const connection_plan plan = plan_(entry.service);
    const std::uint32_t share = just_started_
                                    ? connection_share_after_start(max_connections, plan.nodes, plan.scope)
                                    : connection_share(max_connections, plan.nodes, plan.scope);
    servers_.put_server(
        {id_of(entry), entry.address, entry.domain, entry.name},
        {share, entry.slots, plan.keep_open && !settling_, sharing_nodes(entry.service, plan)});
}

double server_pool::sharing_nodes(const service_name& service, const connection_plan& plan) {
    rate_sharing_count& count = sharing_[service];
    const time_point now = timers_.now();
    count.on_count(now, settling_ ? std::max(plan.nodes, min_assumed_nodes) : plan.nodes);
    if (const auto when = count.falls_at(); when && *when > now && !share_check_)
        share_check_ = timers_.schedule_at(*when, [this] {
            share_check_.reset();
            publish_all();
        });
    return plan.keep_open ? count.value(now) : count.value(now) / non_holder_share;
}

void server_pool::publish_set(const service_name& service) {
    servers_.set_members(set_of(service), members_[service], max_waiting);
}

bool server_pool::on_entry(const server_entry& entry, bool removed) {
    const upstream_id id = id_of(entry);
    if (removed) {
        entries_.erase(id);
        std::erase(members_[entry.service], id);
        servers_.remove_server(id);
        publish_set(entry.service);
        return true;
    }
    const auto known = entries_.find(id);
    const bool is_new = known == entries_.end();
    const bool placement_changed =
        is_new || known->second.service != entry.service || known->second.domain != entry.domain;
    if (!is_new && known->second.service != entry.service) {
        std::erase(members_[known->second.service], id);
        publish_set(known->second.service);
    }
    if (is_new || known->second.service != entry.service)
        members_[entry.service].push_back(id);
    entries_[id] = entry;
    publish(entry);
    if (placement_changed)
        publish_set(entry.service);
    if (entry.is_leaving)
        servers_.note_leaving(id, {}, {leaving_source::entry});
    return placement_changed;
}

servers_by_domain server_pool::places() const {
    servers_by_domain places;
    for (const auto& [id, entry] : entries_) {
        if (!entry.is_leaving)
            ++places[entry.service][entry.domain];
    }
    return places;
}

void server_pool::on_routes(const route_table& table) {
    max_connections_.clear();
    for (const auto& [name, service] : table.services())
        max_connections_[name] = service.max_connections;
    publish_all();
}

void server_pool::publish_all() {
    for (const auto& [id, entry] : entries_)
        publish(entry);
}

} // namespace pollengrade
