/** @file cluster.cpp Connects membership, config gossip and registry sync to peers. */
#include "daemon/cluster.h"

#include <algorithm>
#include <utility>

#include "core/cluster/announce_func.h"
#include "core/cluster/rendezvous_func.h"
#include "platform/object_decoder.h"

namespace pollengrade {

namespace {

/** Number of relays that watch the platform in each failure domain. */
constexpr std::size_t relays_per_domain = 2;
/** Number of peers that a document is pushed to, as only relays watch the platform. */
constexpr std::size_t document_push_fanout = 4;
/**
 * Number of peers that routes are pushed to if only some nodes watch the store. Nodes that a push misses
 * pull.
 */
constexpr std::size_t divided_push_fanout = 2;
constexpr std::size_t asked_watchers = 2; ///< store watchers that a node asks in turn for their confirmation
/** Nodes that a node notifies when it watches the store in place of the store watchers. */
constexpr std::size_t max_announced_for_others = 64;
/** Delay that collects changes of servers, which come in bursts. */
constexpr duration announce_delay = std::chrono::milliseconds{300};
/** Minimum interval between reports of live nodes; many nodes often join or leave at the same time. */
constexpr duration live_min_interval = std::chrono::milliseconds{200};
/** Interval between pulls while configuration is incomplete or the platform does not answer. */
constexpr duration config_pull_period = std::chrono::milliseconds{500};

member local_member(const node_settings& settings) {
    member it;
    it.address = settings.peers;
    it.operators = settings.operators;
    it.name = settings.name;
    it.domain = settings.domain;
    it.capacity = settings.capacity;
    it.incarnation.start = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
    return it;
}

/**
 * Reads the version of routes from their text, because nodes of earlier builds send the store's revision
 * instead, which a store that came back from a copy gives out again. Routes without a readable version are
 * left out.
 */
std::vector<config_entry> with_versions_of_text(std::vector<config_entry> entries) {
    std::vector<config_entry> valid;
    for (config_entry& it : entries) {
        if (it.key.kind == config_kind::routes) {
            const auto version = routes_version(it.text);
            if (!version)
                continue;
            it.version = *version;
        }
        valid.push_back(std::move(it));
    }
    return valid;
}

} // namespace

cluster::cluster(const node_settings& settings, loop_clock& clock, event_log& log, metrics& counts,
                 config_store& store, registry& servers, const std::function<std::uint64_t()>& random,
                 cluster_hooks hooks)
    : clock_{clock}, log_{log}, counts_{counts}, hooks_{std::move(hooks)}, store_{store}, servers_{servers},
      client_{clock, log},
      membership_{clock.timers(),         log, counts, random, local_member(settings), settings.seeds,
                  make_membership_hooks()},
      config_gossip_{clock.timers(), store, counts,
                     settings.interface == interface_kind::documents ? document_push_fanout : 0,
                     make_gossip_hooks()},
      registry_{clock.timers(), counts, servers, make_registry_hooks()},
      freshness_{clock.timers(), log, counts, random, settings.apply_limit, make_freshness_hooks()},
      server_{clock, log, make_peer_hooks()},
      live_update_{clock.timers(), live_min_interval,
                   [this] { hooks_.live_changed(membership_.live_members()); }},
      watch_order_{settings.peers}, address_{settings.peers}, is_routed_{settings.interface ==
                                                                         interface_kind::routes} {}

membership_hooks cluster::make_membership_hooks() {
    membership_hooks it;
    it.probe = [this](const node_address& to, const gossip_message& message,
                      const membership_hooks::probe_done& done) { client_.probe(to, message, done); };
    it.probe_through = [this](const node_address& via, const node_address& target,
                              const membership_hooks::reach_done& done) {
        client_.probe_through(via, target, done);
    };
    it.list = [this](const node_address& from, const std::vector<std::uint64_t>& known,
                     const membership_hooks::list_done& done) { client_.list_members(from, known, done); };
    it.add_config = [this](gossip_message& message) {
        message.knowledge = knowledge();
        message.config_complete = config_gossip_.is_complete();
    };
    it.gossip_received = [this](const gossip_message& from, std::optional<time_point> asked_at) {
        on_gossip(from, asked_at);
    };
    it.changed = [this] { live_update_.trigger(); };
    return it;
}

void cluster::on_gossip(const gossip_message& from, std::optional<time_point> asked_at) {
    config_gossip_.on_gossip(from);
    registry_.on_gossip(from);
    // Only of a reply is it known how long it was on its way.
    if (asked_at)
        take_confirmation(from.knowledge, *asked_at);
    else if (from.knowledge.confirmation_age)
        freshness_.on_peer_probe(from.sender.address, *from.knowledge.confirmation_age);
}

node_knowledge cluster::knowledge() const {
    return {store_.digest(), servers_.changed_at(), freshness_.age()};
}

void cluster::take_confirmation(const node_knowledge& peer, time_point asked_at) {
    if (peer.confirmation_age)
        registry_.on_store_answered_peer(asked_at - *peer.confirmation_age);
    const bool holds_all =
        peer.config_digest == store_.digest() && peer.registry_changed <= servers_.revision();
    if (peer.confirmation_age && holds_all)
        freshness_.on_peer_answer(asked_at, *peer.confirmation_age);
}

void cluster::on_holder_answer(const node_address& holder, const delegated_answer& answer,
                               time_point asked_at) {
    if (answer.version > routes_version_held())
        config_gossip_.pull_from(holder);
    take_confirmation(answer.knowledge, asked_at);
}

object_version cluster::routes_version_held() const {
    object_version held;
    for (const auto& [key, entry] : store_.entries()) {
        if (key.kind == config_kind::routes)
            held = std::max(held, entry.version);
    }
    return held;
}

freshness_hooks cluster::make_freshness_hooks() {
    freshness_hooks it;
    it.watcher_rank = [this] { return is_routed_ ? watch_order_.rank() : relay_rank(); };
    it.node_count = [this] { return membership_.live().size(); };
    it.ask_watcher = [this](std::uint32_t asked_before) { ask_watcher(asked_before); };
    it.ask = [this](const node_address& node) { membership_.send_gossip(node); };
    it.tell_watchers = [this] {
        for (const node_address& watcher : is_routed_ ? watch_order_.watchers() : relays())
            membership_.send_gossip(watcher);
    };
    it.check_store = [this] { hooks_.check_store(); };
    it.became_acting = [this] { hooks_.watchers_changed(); };
    return it;
}

void cluster::ask_watcher(std::uint32_t asked_before) {
    std::vector<node_address> watchers = is_routed_ ? watch_order_.watchers() : relays();
    const bool is_watcher = std::erase(watchers, address_) > 0;
    if (watchers.empty())
        return;
    // Watchers ask the first ones of them; the other nodes spread over all, those of their domain first.
    std::vector<node_address> order;
    if (is_watcher) {
        order.assign(watchers.begin(), watchers.begin() + static_cast<std::ptrdiff_t>(
                                                              std::min(watchers.size(), asked_watchers)));
    } else {
        const std::string role = "ask " + address_.value();
        std::vector<node_address> local = watchers;
        std::erase_if(local, [this](const node_address& it) {
            return membership_.domain_of(it) != membership_.self().domain;
        });
        order = pick_by_rendezvous(role, local, 1);
        for (const node_address& it : pick_by_rendezvous(role, watchers, asked_watchers))
            order.push_back(it);
    }
    membership_.send_gossip(order[asked_before % order.size()]);
}

config_gossip_hooks cluster::make_gossip_hooks() {
    config_gossip_hooks it;
    it.random_peers = [this](std::size_t count) { return membership_.random_peers(count); };
    it.random_local_peers = [this](std::size_t count) { return membership_.random_local_peers(count); };
    it.is_cross_domain = [this](const node_address& node) {
        return membership_.domain_of(node) != membership_.self().domain;
    };
    it.push = [this](const node_address& to, const std::vector<config_entry>& entries) {
        client_.push_config(to, entries);
    };
    it.pull = [this](const node_address& from, const std::vector<config_version>& known,
                     const config_gossip_hooks::pulled& done) {
        client_.pull_config(from, known, [done](std::optional<pull_reply> reply) {
            if (reply)
                reply->entries = with_versions_of_text(std::move(reply->entries));
            done(reply);
        });
    };
    it.outdated = [this](const config_entry& entry, object_version held) {
        ++counts_.counter("config_outdated");
        log_.record(event_kind::config_outdated, {}, entry.key.name,
                    {{event_key::revision, entry.version.value()}, {event_key::version, held.value()}});
    };
    it.completed = [this] { hooks_.completed(); };
    return it;
}

registry_sync_hooks cluster::make_registry_hooks() {
    registry_sync_hooks it;
    it.pull = [this](const node_address& from, object_version later_than,
                     const registry_sync_hooks::pulled& done) {
        client_.pull_registry(from, later_than, done);
    };
    it.draw = [this]() -> std::optional<node_address> {
        const auto drawn = membership_.random_peers(1);
        return drawn.empty() ? std::nullopt : std::optional{drawn.front()};
    };
    it.update_applied = [this] { hooks_.completed(); };
    return it;
}

peer_hooks cluster::make_peer_hooks() {
    peer_hooks it;
    it.on_probe = [this](const gossip_message& from) { return membership_.on_probe(from); };
    it.on_probe_through = [this](const node_address& target, const membership_hooks::reach_done& done) {
        gossip_message message;
        message.sender = membership_.self();
        message.knowledge.config_digest = store_.digest();
        client_.probe(target, message,
                      [done](const std::optional<gossip_message>& reply) { done(reply.has_value()); });
    };
    it.members = [this](const std::vector<std::uint64_t>& known) { return membership_.all_but(known); };
    it.on_push = [this](const std::vector<config_entry>& entries) {
        config_gossip_.take(with_versions_of_text(entries));
    };
    it.on_pull = [this](const std::vector<config_version>& known) {
        return config_gossip_.answer_pull(known);
    };
    it.registry_changes = [this](object_version later_than) { return servers_.update_after(later_than); };
    it.run_query = [this](const delegated_request& request, std::function<void(delegated_answer)> respond) {
        return hooks_.run_query(request, [this, respond = std::move(respond)](delegated_answer answer) {
            answer.knowledge = knowledge();
            respond(std::move(answer));
        });
    };
    it.cancel_query = hooks_.cancel_query;
    return it;
}

tl::expected<void, listen_error> cluster::start() {
    if (const auto started = server_.listen(address_); !started)
        return started;
    membership_.start();
    live_update_.trigger(); // A node that discovers no other one has all duties itself.
    pull_config_until_current();
    if (!is_routed_)
        freshness_.set_needed(true);
    return {};
}

void cluster::on_store_reached(bool reached) {
    store_reached_ = reached;
    registry_.on_store_reached(reached);
    if (!reached)
        pull_config_until_current();
}

void cluster::pull_config_until_current() {
    if (pull_scheduled_ || (config_gossip_.is_complete() && store_reached_))
        return;
    pull_scheduled_ = true;
    config_gossip_.pull_from_peers();
    clock_.timers().schedule_after(config_pull_period, [this] {
        pull_scheduled_ = false;
        pull_config_until_current();
    });
}

void cluster::set_store_watchers(bool divided, bool is_store_watcher,
                                 std::span<const node_address> store_watchers) {
    divided_ = divided;
    is_store_watcher_ = is_store_watcher;
    watch_order_.set(divided, store_watchers, membership_.live());
    registry_.set_watching_store(is_store_watcher);
    if (is_routed_)
        config_gossip_.set_push_fanout(divided ? divided_push_fanout : 0);
    config_gossip_.set_local_first(divided);
    if (is_routed_)
        freshness_.set_needed(watch_order_.needs_confirmations());
}

void cluster::announce() {
    const bool is_watcher = is_store_watcher_ || freshness_.is_acting();
    if (!divided_ || !is_watcher || std::exchange(announcement_scheduled_, true))
        return;
    clock_.timers().schedule_after(announce_delay, [this] {
        announcement_scheduled_ = false;
        for (const node_address& it : nodes_to_announce_to())
            membership_.send_gossip(it);
    });
}

std::vector<node_address> cluster::nodes_to_announce_to() const {
    // The store watchers that this node replaces notify nobody.
    if (!is_store_watcher_)
        return membership_.random_peers(max_announced_for_others);
    return nodes_to_notify(membership_.self(), store_watcher_members(), membership_.live_members());
}

std::vector<member> cluster::store_watcher_members() const {
    std::vector<member> list;
    for (const member& it : membership_.live_members()) {
        const auto& watchers = watch_order_.watchers();
        if (std::find(watchers.begin(), watchers.end(), it.address) != watchers.end())
            list.push_back(it);
    }
    return list;
}

std::vector<node_address> cluster::relays() const {
    const failure_domain& domain = membership_.self().domain;
    return pick_by_rendezvous("relay " + domain.value(), membership_.live(domain), relays_per_domain);
}

std::optional<std::size_t> cluster::relay_rank() const {
    const std::vector<node_address> list = relays();
    const auto it = std::find(list.begin(), list.end(), address_);
    if (it == list.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - list.begin());
}

} // namespace pollengrade
