/** @file membership.cpp Probes, suspicion and the spread of news. */
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

constexpr duration probe_period = std::chrono::seconds{1};   ///< between two probes by a node
constexpr duration suspicion_time = std::chrono::seconds{4}; ///< to refute, before a node is given up on
constexpr duration forget_time = std::chrono::seconds{60};   ///< a dead node's word is kept this long
constexpr duration rejoin_period = std::chrono::seconds{2};  ///< between two tries to reach a lost node
constexpr duration touch_time = std::chrono::seconds{10};    ///< silence after which a node counts as cut off
/** Between a starting node's readings of others' lists: VMs that get their power back together start within
 * about a second, and a node that learns of no other for longer takes the nodes for known. */
constexpr duration reading_pause = std::chrono::milliseconds{200};
constexpr std::uint32_t most_readings = 8; ///< of a starting node, over 1.4 s
constexpr std::size_t most_seeds_greeted =
    8;                                     ///< by a starting node: each then has all that start in its list
constexpr std::size_t indirect_probes = 3; ///< nodes asked to probe for this one
constexpr std::size_t leave_notices = 4;   ///< nodes told first of a graceful stop
constexpr std::uint32_t spread_factor = 3; ///< times log2(nodes) that news is sent

constexpr std::uint32_t far_probe_turn = 4;    ///< each so many probes one goes to another failure domain
constexpr std::uint32_t seed_reading_turn = 4; ///< about each so many readings one is of a seed

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
      seeds_{std::move(seeds)}, hooks_{std::move(hooks)}, last_heard_{timers.now()} {
    std::erase(seeds_, self_.address); // A node is no seed of its own.
}

void membership::start() {
    spread(self_);
    greet_seeds();
    read_list(0);
    seek_lost();
    const auto jitter =
        static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(probe_period.count()));
    timers_.schedule_after(duration{jitter}, [this] { probe_next(); });
}

void membership::greet_seeds() {
    std::vector<node_address> seeds = seeds_;
    for (std::size_t n = 0; n < seeds.size() && n < most_seeds_greeted; ++n) {
        std::swap(seeds[n], seeds[n + random_() % (seeds.size() - n)]);
        greet(seeds[n]);
    }
}

std::uint64_t fingerprint_of(const member& it) {
    const std::string text = it.address.value() + '\0' + std::to_string(it.life.start) + '\0' +
                             std::to_string(it.life.refutations) + '\0' + std::string{to_string(it.state)};
    return XXH3_64bits(text.data(), text.size());
}

std::vector<member> membership::all_but(std::span<const std::uint64_t> known) const {
    const std::unordered_set<std::uint64_t> held{known.begin(), known.end()};
    std::vector<member> list = all();
    std::erase_if(list, [&held](const member& it) { return held.contains(fingerprint_of(it)); });
    return list;
}

std::optional<node_address> membership::choose_list(std::uint32_t readings) {
    const bool is_first = readings == 0 || others_.empty();
    // Seeds are greeted by all that start: what some nodes read there reaches the others of their domain.
    if (is_first || random_() % seed_reading_turn == 0)
        return seeds_[random_() % seeds_.size()];
    const auto drawn = draw_near(1);
    return drawn.empty() ? std::nullopt : std::optional{drawn.front()};
}

void membership::read_list(std::uint32_t readings) {
    if (seeds_.empty() || (readings >= most_readings && live().size() > 1))
        return;
    const node_address target = choose_list(readings).value_or(seeds_.front());
    ++counts_.counter("member_lists_read");
    // Greeted first: its list then holds this node for whoever reads it next.
    greet(target);
    std::vector<std::uint64_t> known;
    for (const member& it : all())
        known.push_back(fingerprint_of(it));
    hooks_.list(target, known, [this](const std::optional<std::vector<member>>& list) {
        if (!list)
            return;
        for (const member& it : *list)
            take(it, false);
    });
    const duration pause = readings < most_readings ? reading_pause : rejoin_period;
    timers_.schedule_after(pause, [this, readings] { read_list(readings + 1); });
}

void membership::seek_lost() {
    timers_.schedule_after(rejoin_period, [this] { seek_lost(); });
    std::vector<node_address> lost;
    for (const node_address& it : seeds_) {
        if (!others_.contains(it))
            lost.push_back(it);
    }
    for (const auto& [address, it] : others_) {
        if (it.state == member_state::dead)
            lost.push_back(address);
    }
    if (lost.empty())
        return;
    // Two sides of a cut have given each other up: a probe across it lets one refute.
    greet(lost[random_() % lost.size()]);
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

void membership::greet(const node_address& target) {
    hooks_.probe(target, make_greeting(target), [this](const std::optional<greeting>& reply) {
        if (reply)
            heard(*reply);
    });
}

std::vector<node_address> membership::draw(std::size_t count) const {
    std::vector<node_address> pool = live();
    pool.erase(pool.begin()); // This node.
    return draw_of(std::move(pool), count);
}

std::vector<node_address> membership::draw_near(std::size_t count) const {
    std::vector<node_address> pool = live(self_.domain);
    std::erase(pool, self_.address);
    return pool.empty() ? draw(count) : draw_of(std::move(pool), count);
}

std::vector<node_address> membership::draw_of(std::vector<node_address> pool, std::size_t count) const {
    for (std::size_t n = 0; n < pool.size() && n < count; ++n)
        std::swap(pool[n], pool[n + random_() % (pool.size() - n)]);
    pool.resize(std::min(count, pool.size()));
    return pool;
}

bool membership::is_in_touch() const {
    return others_.empty() || timers_.now() - last_heard_ < touch_time;
}

std::uint32_t membership::spread_count() const {
    return spread_factor * static_cast<std::uint32_t>(std::bit_width(others_.size() + 1));
}

void membership::spread(const member& word) {
    news_[word.address] = spread_count();
}

void membership::take(const member& word, bool spreads) {
    if (word.address == self_.address) {
        // Word of this node by others: an older process is no concern, a suspicion is refuted.
        const bool is_this_life = word.life.start == self_.life.start;
        if (is_this_life && word.state != member_state::alive && word.life >= self_.life &&
            self_.state == member_state::alive) {
            self_.life.refutations = word.life.refutations + 1;
            ++counts_.counter("suspicions_refuted");
            spread(self_);
        }
        return;
    }
    const auto it = others_.find(word.address);
    if (it != others_.end() && !is_later(word, it->second))
        return;
    if (it == others_.end() && (word.state == member_state::dead || others_.size() >= max_members))
        return;
    const bool was_live = it != others_.end() && is_live(it->second.state);
    const bool is_new_life = it == others_.end() || it->second.life.start != word.life.start;
    others_[word.address] = word;
    if (spreads)
        spread(word);
    else
        news_.erase(word.address); // What was being spread of it is older.
    if (was_live == is_live(word.state) && !is_new_life)
        return;
    log_.record(is_live(word.state) ? event_kind::member_joined : event_kind::member_left, {}, word.name,
                {{event_key::address, word.address.value()}, {event_key::state, to_string(word.state)}});
    if (word.state == member_state::dead || word.state == member_state::leaving) {
        timers_.schedule_after(forget_time, [this, address = word.address, life = word.life] {
            const auto known = others_.find(address);
            if (known != others_.end() && known->second.life == life && !is_live(known->second.state))
                others_.erase(known);
        });
    }
    hooks_.changed();
}

greeting membership::make_greeting(const node_address& to) {
    greeting it;
    it.sender = self_;
    std::vector<std::pair<std::uint32_t, node_address>> fresh;
    for (const auto& [address, left] : news_)
        fresh.emplace_back(left, address);
    const std::size_t kept = std::min(max_updates_per_greeting, fresh.size());
    std::partial_sort(fresh.begin(), fresh.begin() + static_cast<std::ptrdiff_t>(kept), fresh.end(),
                      std::greater<>{});
    for (std::size_t n = 0; n < kept; ++n) {
        const node_address& address = fresh[n].second;
        if (const auto known = others_.find(address); known != others_.end())
            it.updates.push_back(known->second);
        if (--news_[address] == 0)
            news_.erase(address);
    }
    // Whoever is suspected or given up on here must hear of it, or it could not refute.
    const auto known = others_.find(to);
    if (known != others_.end() && known->second.state != member_state::alive)
        it.updates.push_back(known->second);
    hooks_.add_config(it);
    return it;
}

void membership::heard(const greeting& from) {
    last_heard_ = timers_.now();
    take(from.sender);
    for (const member& it : from.updates)
        take(it);
    hooks_.greeted_by(from);
}

greeting membership::on_probe(const greeting& from) {
    heard(from);
    return make_greeting(from.sender.address);
}

void membership::probe_next() {
    timers_.schedule_after(probe_period, [this] { probe_next(); });
    const bool is_far_turn = probes_++ % far_probe_turn == 0;
    if (!probe_next_of(is_far_turn ? far_round_ : near_round_, is_far_turn))
        probe_next_of(is_far_turn ? near_round_ : far_round_, !is_far_turn);
}

bool membership::probe_next_of(std::vector<node_address>& round, bool is_far) {
    if (round.empty())
        round = make_round(is_far);
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

std::vector<node_address> membership::make_round(bool is_far) const {
    std::vector<node_address> round = draw(max_members);
    std::erase_if(round, [this, is_far](const node_address& it) {
        return (others_.at(it).domain != self_.domain) != is_far;
    });
    return round;
}

void membership::probe(const node_address& target) {
    ++counts_.counter("probes_sent");
    hooks_.probe(target, make_greeting(target), [this, target](const std::optional<greeting>& reply) {
        if (reply)
            heard(*reply);
        else
            probe_through_others(target);
    });
}

void membership::probe_through_others(const node_address& target) {
    std::vector<node_address> helpers = draw(indirect_probes + 1);
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
    member word = it->second;
    word.state = member_state::suspect;
    take(word);
    timers_.schedule_after(suspicion_time, [this, target, life = word.life] { give_up(target, life); });
}

void membership::give_up(const node_address& target, incarnation life) {
    const auto it = others_.find(target);
    if (it == others_.end() || it->second.life != life || it->second.state != member_state::suspect)
        return;
    member word = it->second;
    word.state = member_state::dead;
    take(word);
}

void membership::leave() {
    self_.state = member_state::leaving;
    for (const node_address& it : draw(leave_notices))
        hooks_.probe(it, make_greeting(it), [](const std::optional<greeting>&) {});
}

} // namespace pollengrade
