/** @file load_model.cpp Modelled servers, connections and callers on one simulated clock. */
#include "support/load_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "runtime/random_source.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

constexpr duration hop = duration{1200};              ///< one way between a node and a server
constexpr duration caller_hop = milliseconds{3};      ///< one way between a caller and a node
constexpr duration connect_time = milliseconds{8};    ///< until a new connection can be used
constexpr duration warm_up = std::chrono::seconds{3}; ///< load before the measured one, without troubles
constexpr const char* host = "a.example";

double seconds_of(duration it) {
    return std::chrono::duration<double>{it}.count();
}

duration from_ms(double ms) {
    constexpr double us_per_ms = 1000;
    return duration{static_cast<duration::rep>(ms * us_per_ms)};
}

/** Times of one modelled server: how long work takes, and when it pauses. */
class server_clock {
public:
    server_clock(const load_plan& plan, server_troubles troubles, std::size_t number)
        : plan_{plan}, troubles_{troubles}, random_{plan.seed * 7919 + number},
          // Servers pause at times of their own.
          pause_offset_{plan.pause_period * static_cast<int>(random_() % 1000) / 1000} {}

    /** @return when work that starts at @p at ends; both from the start of the load. */
    duration end_of_work(duration at) {
        // The mean of a lognormal distribution lies half its variance above the median.
        std::lognormal_distribution<double> times{
            std::log(plan_.work_ms) - plan_.work_spread * plan_.work_spread / 2, plan_.work_spread};
        duration left = from_ms(times(random_));
        if (troubles_.slow.contains(at))
            left = from_ms(static_cast<double>(left.count()) / 1000 * troubles_.slow_factor);
        if (plan_.pause_length.count() == 0)
            return at + left;
        duration now = after_pause(at);
        const duration next = next_pause(now);
        return now + left <= next ? now + left : now + left + plan_.pause_length;
    }

    [[nodiscard]] bool is_silent(duration at) const { return troubles_.silent.contains(at); }
    [[nodiscard]] rate_statement rate(duration at) const {
        return {troubles_.limited.contains(at) ? std::optional{troubles_.stated_rate} : std::nullopt, true};
    }
    [[nodiscard]] const server_troubles& troubles() const { return troubles_; }
    [[nodiscard]] bool refuses(duration at) {
        constexpr double whole = 1000;
        return troubles_.refusing.contains(at) &&
               static_cast<double>(random_() % 1000) / whole < troubles_.refused_share;
    }

private:
    [[nodiscard]] duration phase(duration at) const {
        return (at + pause_offset_ + warm_up + plan_.pause_period) % plan_.pause_period;
    }
    [[nodiscard]] duration after_pause(duration at) const {
        const duration in = phase(at);
        return in < plan_.pause_length ? at + (plan_.pause_length - in) : at;
    }
    [[nodiscard]] duration next_pause(duration at) const { return at + (plan_.pause_period - phase(at)); }

    load_plan plan_;
    server_troubles troubles_;
    std::mt19937_64 random_;
    duration pause_offset_;
};

/** A server with slots and a queue. */
class modelled_server {
public:
    using reply = std::function<void(attempt_result)>;

    modelled_server(timer_queue& timers, time_point start, const load_plan& plan, server_troubles troubles,
                    std::size_t number)
        : timers_{timers}, start_{start}, slots_{plan.slots}, queue_{plan.queue},
          clock_{plan, troubles, number}, name_{std::to_string(number)} {}

    /** Reads a request. @return its number, for cancel() */
    std::uint64_t receive(time_point deadline, reply done) {
        const std::uint64_t number = next_++;
        const duration at = timers_.now() - start_;
        if (clock_.troubles().limited.contains(at))
            arrivals_.push_back(at);
        if (clock_.is_silent(at))
            return number;
        if (waiting_.size() >= queue_ || clock_.refuses(at)) {
            done(tl::unexpected{attempt_failure{attempt_error::shed, duration{0}}});
            return number;
        }
        waiting_.push_back({number, deadline, std::move(done)});
        start_next();
        return number;
    }

    /** @return the rate that replies state now. */
    [[nodiscard]] rate_statement rate() const { return clock_.rate(timers_.now() - start_); }

    /** Adds what the server got while it stated a rate to the result. */
    void report(load_result& result) const {
        constexpr duration window = std::chrono::seconds{4};
        constexpr double tolerance = 1.5;
        constexpr double slack = 5;
        const server_troubles& it = clock_.troubles();
        const duration span = it.limited.until - it.limited.from;
        if (span <= window)
            return;
        const double allowed = tolerance * it.stated_rate * seconds_of(window) + slack;
        std::size_t first = 0;
        std::size_t counted = 0;
        for (std::size_t n = 0; n < arrivals_.size(); ++n) {
            const duration at = arrivals_[n] - it.limited.from;
            if (at < std::chrono::milliseconds{500}) {
                first = n + 1; // Nodes may not have read a reply yet that states the rate.
                continue;
            }
            ++counted;
            while (arrivals_[n] - arrivals_[first] > window)
                ++first;
            result.rate_use = std::max(result.rate_use, static_cast<double>(n - first + 1) / allowed);
        }
        const double accepted = it.stated_rate * seconds_of(span);
        result.rate_used = std::max(result.rate_used, static_cast<double>(counted) / accepted);
    }

    /** The connection of a request was closed: the server stops working on it. */
    void cancel(std::uint64_t number) {
        std::erase_if(waiting_, [&](const request& it) { return it.number == number; });
        const auto it = running_.find(number);
        if (it == running_.end())
            return;
        timers_.cancel(it->second);
        running_.erase(it);
        start_next();
    }

private:
    struct request {
        std::uint64_t number;
        time_point deadline;
        reply done;
    };

    void start_next() {
        while (running_.size() < slots_ && !waiting_.empty()) {
            request it = std::move(waiting_.front());
            waiting_.pop_front();
            if (it.deadline <= timers_.now()) {
                it.done(tl::unexpected{attempt_failure{attempt_error::shed, duration{0}}});
                continue;
            }
            const time_point end = start_ + clock_.end_of_work(timers_.now() - start_);
            running_[it.number] =
                timers_.schedule_at(end, [this, number = it.number, done = std::move(it.done)] {
                    running_.erase(number);
                    forwarded_reply reply;
                    reply.message.status = 200;
                    reply.signature = name_ + "." + std::to_string(number);
                    done(reply);
                    start_next();
                });
        }
    }

    timer_queue& timers_;
    time_point start_;
    std::uint32_t slots_;
    std::uint32_t queue_;
    server_clock clock_;
    std::string name_;
    std::vector<duration> arrivals_; ///< of requests while it states a rate, from the start of the load
    std::deque<request> waiting_;
    std::map<std::uint64_t, timer_id> running_;
    std::uint64_t next_ = 1;
};

/** A node: the real dispatcher and forwarder, and its connections to the modelled servers. */
class modelled_node {
public:
    modelled_node(timer_queue& timers, const load_plan& plan, std::vector<modelled_server>& servers,
                  std::uint64_t seed)
        : timers_{timers}, models_{servers},
          servers_{timers,
                   log_,
                   counts_,
                   seeded_random(seed),
                   failure_domain{std::to_string(seed % plan.replicas)},
                   {[this](connection_id id, const upstream_address& to) { return open(id, to); },
                    [this](connection_id id, const upstream_identity&, const attempt_request& request) {
                        send(id, request);
                    },
                    [this](connection_id id) { close(id); }}},
          forwards_{{timers, servers_, log_, counts_},
                    seeded_random(seed),
                    failure_domain{std::to_string(seed % plan.replicas)},
                    {[](const route&) { return std::vector<node_address>{}; },
                     [&plan](const service_name&) {
                         const auto nodes = static_cast<double>(plan.nodes);
                         return retry_budget_limits{plan.budget.ratio, plan.budget.slack / nodes,
                                                    plan.budget.window};
                     },
                     [] {}, [&timers] { return timers.now(); }},
                    {},
                    caller_hop * 2} {
        const auto share =
            std::max<std::uint32_t>(1, plan.connections / static_cast<std::uint32_t>(plan.nodes));
        for (std::size_t shard = 0; shard < plan.shards; ++shard) {
            std::vector<upstream_id> members;
            for (std::size_t replica = 0; replica < plan.replicas; ++replica) {
                const std::size_t number = shard * plan.replicas + replica;
                members.emplace_back("i" + std::to_string(number));
                servers_.put_server({members.back(), upstream_address{std::to_string(number)},
                                     failure_domain{std::to_string(replica)}, members.back().value()},
                                    {share, plan.slots, true, static_cast<double>(plan.nodes)});
            }
            servers_.set_members(replica_set_name{"s" + std::to_string(shard)}, members, {16, 256});
        }
    }

    [[nodiscard]] forwarder& forwards() { return forwards_; }
    [[nodiscard]] std::uint64_t sent() { return counts_.counter("attempts_sent"); }
    [[nodiscard]] metrics& counts() { return counts_; }

private:
    struct connection {
        std::size_t server = 0;
        std::uint64_t request = 0; ///< at the server; 0 for none
        bool open = false;
    };

    bool open(connection_id id, const upstream_address& to) {
        connections_[id].server = std::stoul(to.value());
        timers_.schedule_after(connect_time, [this, id] {
            if (const auto it = connections_.find(id); it != connections_.end()) {
                it->second.open = true;
                servers_.on_connected(id);
            }
        });
        return true;
    }

    void send(connection_id id, const attempt_request& request) {
        timers_.schedule_after(hop, [this, id, deadline = request.deadline] {
            const auto it = connections_.find(id);
            if (it == connections_.end())
                return;
            const std::uint64_t number = models_[it->second.server].receive(
                deadline, [this, id, server = it->second.server](const attempt_result& result) {
                    timers_.schedule_after(
                        hop, [this, id, result, rate = models_[server].rate()] { answer(id, result, rate); });
                });
            it->second.request = number;
        });
    }

    void answer(connection_id id, const attempt_result& result, const rate_statement& rate) {
        const auto it = connections_.find(id);
        if (it == connections_.end())
            return;
        it->second.request = 0;
        servers_.on_answered(id, result, {true, {}, rate});
    }

    void close(connection_id id) {
        const auto node = connections_.extract(id);
        if (!node.empty() && node.mapped().request != 0)
            models_[node.mapped().server].cancel(node.mapped().request);
    }

    timer_queue& timers_;
    std::vector<modelled_server>& models_;
    event_log log_{[] { return wall_time{}; }};
    metrics counts_;
    std::map<connection_id, connection> connections_;
    dispatcher servers_;
    forwarder forwards_;
};

route_table_ptr table_of(const load_plan& plan) {
    route search;
    search.name = "search";
    search.host = host;
    search.prefix = "/search/";
    search.is_idempotent = true;
    search.timeout = plan.deadline;
    search.target = plan.target;
    search.max_attempts = 2;
    search.max_records = 3;
    search.min_shard_ratio = plan.min_shard_ratio;
    route_table_parts parts;
    parts.version = object_version{1};
    for (std::size_t n = 0; n < plan.shards; ++n) {
        search.shards.emplace_back("s" + std::to_string(n));
        parts.services.push_back({search.shards.back(), plan.connections});
    }
    parts.routes = {search};
    parts.limits = {1024, 1024, milliseconds{1000}, milliseconds{1000}};
    return route_table::make(std::move(parts)).value();
}

/** @return the times of the queries, from the start of the load, those before it included. */
std::vector<duration> arrivals(const load_plan& plan) {
    std::mt19937_64 random{plan.seed};
    std::exponential_distribution<double> gap{plan.rate};
    std::vector<duration> list;
    constexpr double ms_per_s = 1000;
    for (duration at = -warm_up; at < plan.length; at += from_ms(gap(random) * ms_per_s))
        list.push_back(at);
    return list;
}

duration quantile(std::vector<duration> values, double share) {
    if (values.empty())
        return duration{0};
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

} // namespace

load_result play(const load_plan& plan) {
    timer_queue timers = paused_clock();
    const time_point start = timers.now() + std::chrono::seconds{1} + warm_up;
    std::vector<modelled_server> servers;
    for (std::size_t n = 0; n < plan.shards * plan.replicas; ++n)
        servers.emplace_back(timers, start, plan, plan.troubles(n / plan.replicas, n % plan.replicas), n);
    std::vector<std::unique_ptr<modelled_node>> nodes;
    for (std::size_t n = 0; n < plan.nodes; ++n) {
        nodes.push_back(std::make_unique<modelled_node>(timers, plan, servers, plan.seed + n));
        nodes.back()->forwards().apply(table_of(plan));
    }
    load_result result;
    std::vector<duration> times;
    std::vector<duration> times_of_failures;
    double shards = 0;
    std::mt19937_64 random{plan.seed + 1};
    std::uint64_t sent_before = 0;
    std::uint64_t next = 0;
    timers.schedule_at(start, [&] {
        for (const auto& it : nodes)
            sent_before += it->sent();
    });
    for (const duration at : arrivals(plan)) {
        forwarder& node = nodes[random() % plan.nodes]->forwards();
        timers.schedule_at(start + at, [&, at, number = ++next, sent = start + at - caller_hop] {
            auto request = std::make_shared<forwarded_request>();
            request->id = request_id{"r" + std::to_string(number)};
            request->host = host;
            request->path = "/search/x";
            request->time_left = plan.deadline;
            request->caller_round_trip = caller_hop * 2;
            node.submit(std::move(request), [&, at, sent](const forward_answer& answer) {
                if (at < duration{0})
                    return;
                const duration took = timers.now() + caller_hop - sent;
                ++result.asked;
                times.push_back(took);
                const auto* gathered = std::get_if<gathered_answer>(&answer);
                if (gathered == nullptr) {
                    ++result.failed;
                    times_of_failures.push_back(took);
                    return;
                }
                ++(took <= plan.target ? result.on_time : result.late);
                result.whole += gathered->missing == 0 ? 1 : 0;
                shards += static_cast<double>(gathered->signatures.size()) / static_cast<double>(plan.shards);
            });
        });
    }
    timers.advance_to(start + plan.length + plan.deadline * 2);
    std::uint64_t sent = 0;
    for (const auto& it : nodes)
        sent += it->sent();
    for (const modelled_server& it : servers)
        it.report(result);
    const auto needed = static_cast<double>(result.asked * plan.shards);
    result.extra = std::max(0.0, static_cast<double>(sent - sent_before) / needed - 1);
    result.shards = shards / std::max<double>(1, static_cast<double>(result.on_time + result.late));
    result.p50 = quantile(times, 0.5);
    result.p99 = quantile(times, 0.99);
    result.p99_9 = quantile(times, 0.999);
    result.p99_failed = quantile(times_of_failures, 0.99);
    return result;
}

load_result play_with_foresight(const load_plan& plan) {
    struct known_server {
        server_clock clock;
        std::vector<duration> free_at; ///< of each slot
    };
    std::vector<known_server> servers;
    for (std::size_t n = 0; n < plan.shards * plan.replicas; ++n)
        servers.push_back({{plan, plan.troubles(n / plan.replicas, n % plan.replicas), n},
                           std::vector<duration>(plan.slots, -warm_up)});
    load_result result;
    double shards = 0;
    const std::size_t least = least_shards(plan.min_shard_ratio, plan.shards);
    for (const duration at : arrivals(plan)) {
        const duration latest = at + plan.target - caller_hop * 2 - hop;
        std::vector<std::pair<duration*, duration>> taken; ///< slots and when they are free again
        for (std::size_t shard = 0; shard < plan.shards; ++shard) {
            std::optional<std::pair<duration*, duration>> best;
            for (std::size_t replica = 0; replica < plan.replicas; ++replica) {
                known_server& it = servers[shard * plan.replicas + replica];
                if (it.clock.is_silent(at + hop) || it.clock.refuses(at + hop))
                    continue;
                const auto slot = std::min_element(it.free_at.begin(), it.free_at.end());
                const duration end = it.clock.end_of_work(std::max(at + hop, *slot));
                if (end <= latest && (!best || end < best->second))
                    best = {&*slot, end};
            }
            if (best)
                taken.push_back(*best);
        }
        const bool is_served = taken.size() >= least;
        if (is_served) {
            for (const auto& [slot, end] : taken)
                *slot = end;
        }
        if (at < duration{0})
            continue;
        ++result.asked;
        ++(is_served ? result.on_time : result.failed);
        result.whole += is_served && taken.size() == plan.shards ? 1 : 0;
        shards += is_served ? static_cast<double>(taken.size()) / static_cast<double>(plan.shards) : 0;
    }
    result.shards = shards / std::max<double>(1, static_cast<double>(result.on_time));
    return result;
}

} // namespace pollengrade
