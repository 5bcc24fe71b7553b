/** @file membership.cpp Implements probing, suspicion and gossip of member updates. */
#include "core/cluster/membership.h"

#include <algorithm>
#include <array>
#include <bit>
#include <memory>
#include <unordered_set>
#include <utility>

#include <xxhash.h>

namespace pollengrade {

namespace {

constexpr duration probe_period = std::chrono::seconds{1};           ///< between probes by one node
constexpr duration suspicion_timeout = std::chrono::seconds{4};      ///< time to refute a suspicion
constexpr duration dead_member_retention = std::chrono::seconds{60}; ///< also for members that have left
constexpr duration rejoin_period = std::chrono::seconds{2};    ///< between attempts to reach other nodes
constexpr duration contact_timeout = std::chrono::seconds{10}; ///< isolated after this long a silence
/**
 * Between a starting node's reads of other nodes' member lists. VMs that regain power together start within
 * about a second; a node that discovers no other node for longer takes the nodes it knows for all nodes.
 */
constexpr duration list_read_interval = std::chrono::milliseconds{200};
constexpr std::uint32_t max_list_reads = 8; ///< of a starting node, within 1.4 s
/** Seeds that a starting node sends gossip to; the list of each then contains all starting nodes. */
constexpr std::size_t max_initial_seeds = 8;
constexpr std::size_t indirect_probes = 3;     ///< nodes asked to probe an unresponsive node
constexpr std::size_t leave_notifications = 4; ///< nodes notified directly of a graceful stop
constexpr std::uint32_t retransmit_factor = 3; ///< an update is sent this many times log2(nodes)

/** One of this many probes goes to another failure domain. */
constexpr std::uint32_t cross_domain_probe_interval = 4;
constexpr std::uint32_t seed_read_interval = 4; ///< on average, one of this many list reads is from a seed

bool is_live(member_state it) {
    return it == member_state::alive || it == member_state::suspect;
}

} // namespace

std::string_view to_string(member_state it) {
    constexpr std::array<std::string_view, 4> names{"alive", "suspect", "leaving", "dead"};
    return names.at(static_cast<std::size_t>(it));
}

membership::membership(timer_queue& timers, event_log& log, metrics& counts,
                       std::function<std::uint64_t()> random, member self, std::vector<node_address> seeds,
                       membership_hooks hooks)
    : timers_{timers}, log_{log}, counts_{counts}, random_{std::move(random)}, self_{std::move(self)},
      seeds_{std::move(seeds)}, hooks_{std::move(hooks)}, last_contact_{timers.now()} {
    std::erase(seeds_, self_.address); // The configured seeds may include this node.
}

void membership::set_seeds(std::vector<node_address> seeds) {
    std::erase(seeds, self_.address);
    if (std::exchange(seeds_, seeds) != seeds)
        join();
}

void membership::join() {
    send_gossip_to_seeds();
    if (list_timer_)
        timers_.cancel(*std::exchange(list_timer_, std::nullopt));
    read_list(0);
}

void membership::start() {
    queue_update(self_);
    join();
    probe_lost_node();
    const auto jitter =
        static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(probe_period.count()));
    timers_.schedule_after(duration{jitter}, [this] { probe_next(); });
}

void membership::send_gossip_to_seeds() {
    std::vector<node_address> seeds = seeds_;
    for (std::size_t n = 0; n < seeds.size() && n < max_initial_seeds; ++n) {
        std::swap(seeds[n], seeds[n + random_() % (seeds.size() - n)]);
        send_gossip(seeds[n]);
    }
}

std::uint64_t fingerprint_of(const member& it) {
    const std::string text = it.address.value() + '\0' + std::to_string(it.incarnation.start) + '\0' +
                             std::to_string(it.incarnation.refutations) + '\0' +
                             std::string{to_string(it.state)};
    return XXH3_64bits(text.data(), text.size());
}

std::vector<member> membership::all_but(std::span<const std::uint64_t> known) const {
    const std::unordered_set<std::uint64_t> held{known.begin(), known.end()};
    std::vector<member> list = all();
    std::erase_if(list, [&held](const member& it) { return held.contains(fingerprint_of(it)); });
    return list;
}

std::optional<node_address> membership::choose_list_source(std::uint32_t reads) {
    const bool is_first = reads == 0 || others_.empty();
    // All starting nodes send gossip to seeds, so reads from seeds bring their updates into the local domain.
    if (is_first || random_() % seed_read_interval == 0)
        return seeds_[random_() % seeds_.size()];
    const auto drawn = random_local_peers(1);
    return drawn.empty() ? std::nullopt : std::optional{drawn.front()};
}

void membership::read_list(std::uint32_t reads) {
    if (seeds_.empty() || (reads >= max_list_reads && live().size() > 1))
        return;
    const node_address target = choose_list_source(reads).value_or(seeds_.front());
    ++counts_.counter("member_lists_read");
    // Gossip is sent first, so that the list contains this node for its next reader.
    send_gossip(target);
    std::vector<std::uint64_t> known;
    for (const member& it : all())
        known.push_back(fingerprint_of(it));
    hooks_.list(target, known, [this](const std::optional<std::vector<member>>& list) {
        if (!list)
            return;
        for (const member& it : *list)
            apply_update(it, false);
    });
    const duration pause = reads < max_list_reads ? list_read_interval : rejoin_period;
    list_timer_ = timers_.schedule_after(pause, [this, reads] {
        list_timer_.reset();
        read_list(reads + 1);
    });
}

void membership::probe_lost_node() {
    timers_.schedule_after(rejoin_period, [this] { probe_lost_node(); });
    std::vector<node_address> lost;
    for (const node_address& it : seeds_) {
        if (!others_.contains(it))
            lost.push_back(it);
    }
    for (const auto& [address, it] : others_) {
        if (!is_live(it.state))
            lost.push_back(address);
    }
    if (lost.empty())
        return;
    // After a network partition each side considers the other dead; a probe lets the target refute that. A
    // node that left may have started again at its address, with seeds that have been replaced since.
    send_gossip(lost[random_() % lost.size()]);
}

std::vector<member> membership::all() const {
    std::vector<member> list{self_};
    for (const auto& [address, it] : others_)
        list.push_back(it);
    return list;
}

std::vector<node_address> membership::live() const {
    std::vector<node_address> list{self_.address};
    for (const auto& [address, it] : others_) {
        if (is_live(it.state))
            list.push_back(address);
    }
    return list;
}

std::vector<node_address> membership::live(const failure_domain& domain) const {
    std::vector<node_address> list;
    if (self_.domain == domain)
        list.push_back(self_.address);
    for (const auto& [address, it] : others_) {
        if (is_live(it.state) && it.domain == domain)
            list.push_back(address);
    }
    return list;
}

std::vector<member> membership::live_members() const {
    std::vector<member> list{self_};
    for (const auto& [address, it] : others_) {
        if (is_live(it.state))
            list.push_back(it);
    }
    return list;
}

failure_domain membership::domain_of(const node_address& node) const {
    const auto it = others_.find(node);
    return it == others_.end() ? failure_domain{} : it->second.domain;
}

void membership::send_gossip(const node_address& target) {
    hooks_.probe(target, make_gossip(target),
                 [this, asked_at = timers_.now()](const std::optional<gossip_message>& reply) {
                     if (reply)
                         process_gossip(*reply, asked_at);
                 });
}

std::vector<node_address> membership::random_peers(std::size_t count) const {
    std::vector<node_address> pool = live();
    pool.erase(pool.begin()); // Removes this node.
    return random_sample(std::move(pool), count);
}

std::vector<node_address> membership::random_local_peers(std::size_t count) const {
    std::vector<node_address> pool = live(self_.domain);
    std::erase(pool, self_.address);
    return pool.empty() ? random_peers(count) : random_sample(std::move(pool), count);
}

std::vector<node_address> membership::random_sample(std::vector<node_address> pool, std::size_t count) const {
    for (std::size_t n = 0; n < pool.size() && n < count; ++n)
        std::swap(pool[n], pool[n + random_() % (pool.size() - n)]);
    pool.resize(std::min(count, pool.size()));
    return pool;
}

bool membership::is_in_touch() const {
    return others_.empty() || timers_.now() - last_contact_ < contact_timeout;
}

std::uint32_t membership::transmit_count() const {
    return retransmit_factor * static_cast<std::uint32_t>(std::bit_width(others_.size() + 1));
}

void membership::queue_update(const member& update) {
    pending_updates_[update.address] = transmit_count();
}

void membership::apply_update(const member& update, bool passes_on) {
    if (update.address == self_.address) {
        // Updates about an older process at this address are ignored; a suspicion is refuted.
        const bool is_this_process = update.incarnation.start == self_.incarnation.start;
        if (is_this_process && update.state != member_state::alive &&
            update.incarnation >= self_.incarnation && self_.state == member_state::alive) {
            self_.incarnation.refutations = update.incarnation.refutations + 1;
            ++counts_.counter("suspicions_refuted");
            queue_update(self_);
        }
        return;
    }
    const auto it = others_.find(update.address);
    if (it != others_.end() && !supersedes(update, it->second))
        return;
    if (it == others_.end() && (update.state == member_state::dead || others_.size() >= max_members))
        return;
    const bool was_live = it != others_.end() && is_live(it->second.state);
    const bool is_new_process =
        it == others_.end() || it->second.incarnation.start != update.incarnation.start;
    others_[update.address] = update;
    if (passes_on)
        queue_update(update);
    else
        pending_updates_.erase(update.address); // The pending update is older.
    if (was_live == is_live(update.state) && !is_new_process)
        return;
    log_.record(is_live(update.state) ? event_kind::member_joined : event_kind::member_left, {}, update.name,
                {{event_key::address, update.address.value()}, {event_key::state, to_string(update.state)}});
    if (update.state == member_state::dead || update.state == member_state::leaving) {
        timers_.schedule_after(dead_member_retention,
                               [this, address = update.address, incarnation = update.incarnation] {
                                   const auto known = others_.find(address);
                                   if (known != others_.end() && known->second.incarnation == incarnation &&
                                       !is_live(known->second.state))
                                       others_.erase(known);
                               });
    }
    hooks_.changed();
}

gossip_message membership::make_gossip(const node_address& to) {
    gossip_message it;
    it.sender = self_;
    std::vector<std::pair<std::uint32_t, node_address>> fresh;
    for (const auto& [address, left] : pending_updates_)
        fresh.emplace_back(left, address);
    const std::size_t kept = std::min(max_updates_per_gossip, fresh.size());
    std::partial_sort(fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(kept), fresh.end(),
                      std::greater<>{});
    for (std::size_t n = 0; n < kept; ++n) {
        const node_address& address = fresh[n].second;
        if (const auto known = others_.find(address); known != others_.end())
            it.updates.push_back(known->second);
        if (--pending_updates_[address] == 0)
            pending_updates_.erase(address);
    }
    // A target that is suspect or dead here must be notified, or it could not refute.
    const auto known = others_.find(to);
    if (known != others_.end() && known->second.state != member_state::alive)
        it.updates.push_back(known->second);
    hooks_.add_config(it);
    return it;
}

void membership::process_gossip(const gossip_message& from, std::optional<time_point> asked_at) {
    last_contact_ = timers_.now();
    apply_update(from.sender);
    for (const member& it : from.updates)
        apply_update(it);
    hooks_.gossip_received(from, asked_at);
}

gossip_message membership::on_probe(const gossip_message& from) {
    process_gossip(from, std::nullopt);
    return make_gossip(from.sender.address);
}

void membership::probe_next() {
    timers_.schedule_after(probe_period, [this] { probe_next(); });
    const bool is_cross_domain_turn = probes_++ % cross_domain_probe_interval == 0;
    if (!probe_next_of(is_cross_domain_turn ? remote_round_ : local_round_, is_cross_domain_turn))
        probe_next_of(is_cross_domain_turn ? local_round_ : remote_round_, !is_cross_domain_turn);
}

bool membership::probe_next_of(std::vector<node_address>& round, bool is_cross_domain) {
    if (round.empty())
        round = make_round(is_cross_domain);
    while (!round.empty()) {
        const node_address target = round.back();
        round.pop_back();
        const auto it = others_.find(target);
        if (it == others_.end() || !is_live(it->second.state))
            continue;
        probe(target);
        return true;
    }
    return false;
}

std::vector<node_address> membership::make_round(bool is_cross_domain) const {
    std::vector<node_address> round = random_peers(max_members);
    std::erase_if(round, [this, is_cross_domain](const node_address& it) {
        return (others_.at(it).domain != self_.domain) != is_cross_domain;
    });
    return round;
}

void membership::probe(const node_address& target) {
    ++counts_.counter("probes_sent");
    hooks_.probe(target, make_gossip(target),
                 [this, target, asked_at = timers_.now()](const std::optional<gossip_message>& reply) {
                     if (reply)
                         process_gossip(*reply, asked_at);
                     else
                         probe_indirectly(target);
                 });
}

void membership::probe_indirectly(const node_address& target) {
    std::vector<node_address> helpers = random_peers(indirect_probes + 1);
    std::erase(helpers, target);
    if (helpers.size() > indirect_probes)
        helpers.pop_back();
    if (helpers.empty()) {
        suspect(target);
        return;
    }
    const auto left = std::make_shared<std::size_t>(helpers.size());
    const auto any = std::make_shared<bool>(false);
    for (const node_address& it : helpers) {
        ++counts_.counter("indirect_probes_sent");
        hooks_.probe_through(it, target, [this, target, left, any](bool reached) {
            *any = *any || reached;
            if (--*left == 0 && !*any)
                suspect(target);
        });
    }
}

void membership::suspect(const node_address& target) {
    const auto it = others_.find(target);
    if (it == others_.end() || it->second.state != member_state::alive)
        return;
    member update = it->second;
    update.state = member_state::suspect;
    apply_update(update);
    timers_.schedule_after(suspicion_timeout, [this, target, incarnation = update.incarnation] {
        declare_dead(target, incarnation);
    });
}

void membership::declare_dead(const node_address& target, member_incarnation incarnation) {
    const auto it = others_.find(target);
    if (it == others_.end() || it->second.incarnation != incarnation ||
        it->second.state != member_state::suspect)
        return;
    member update = it->second;
    update.state = member_state::dead;
    apply_update(update);
}

void membership::leave() {
    self_.state = member_state::leaving;
    for (const node_address& it : random_peers(leave_notifications))
        hooks_.probe(it, make_gossip(it), [](const std::optional<gossip_message>&) {});
}

} // namespace pollengrade
