/** @file fault_plan.cpp Random generation of the fault schedule. */
#include "fault_plan.h"

#include <algorithm>
#include <array>

namespace pollengrade {

namespace {

constexpr std::array<std::string_view, fault_kinds> names{"node_paused",
                                                          "node_killed",
                                                          "node_stopped",
                                                          "nodes_stopped",
                                                          "node_reloaded",
                                                          "nodes_killed",
                                                          "all_nodes_killed",
                                                          "servers_paused",
                                                          "servers_killed",
                                                          "servers_drained",
                                                          "servers_frozen",
                                                          "servers_shedding",
                                                          "servers_dropping",
                                                          "servers_misanswering",
                                                          "servers_cutting_heads",
                                                          "servers_breaking_replies",
                                                          "servers_pausing",
                                                          "servers_leaving",
                                                          "servers_removed",
                                                          "servers_slow",
                                                          "servers_silent",
                                                          "servers_reset",
                                                          "servers_cut",
                                                          "callers_delayed",
                                                          "callers_reset",
                                                          "store_link_cut",
                                                          "store_link_one_way",
                                                          "store_link_delayed",
                                                          "store_link_silent",
                                                          "store_paused",
                                                          "store_down",
                                                          "store_silent",
                                                          "store_loses_replies",
                                                          "store_loses_calls",
                                                          "store_forgets",
                                                          "version_written",
                                                          "callers_crowding",
                                                          "entry_odd",
                                                          "node_left_alone"};

/** What operators and the platform do on a calm day; only then is it certain what a stop may cut off. */
constexpr std::array planned_kinds{fault_kind::node_stopped, fault_kind::nodes_stopped,
                                   fault_kind::node_reloaded, fault_kind::version_written};

/** The ways in which servers leave. */
constexpr std::array departure_kinds{fault_kind::servers_drained, fault_kind::servers_leaving,
                                     fault_kind::servers_leaving, fault_kind::servers_removed};

/** The kinds that draw_kind() chooses from. */
constexpr std::size_t drawn_kinds = static_cast<std::size_t>(fault_kind::version_written) + 1;
constexpr std::uint64_t max_crowds = 4;
constexpr std::uint64_t max_odd_entries = 3;
constexpr std::uint64_t mean_gap_ms = 700; ///< between the starts of faults, or of series of faults
constexpr std::uint64_t min_length_ms = 100;
constexpr std::uint64_t max_length_ms = 3000;
constexpr std::uint64_t versions_one_in = 8; ///< in addition to the random choice among all kinds
constexpr std::uint64_t series_one_in = 4;   ///< share of faults that are repeated as a series
constexpr std::uint64_t max_in_series = 4;   ///< maximum number of faults in a series
constexpr std::uint64_t series_gap_ms = 600;
/** Servers that leave by their replies are often followed by the loss of all nodes but one, once nothing may
 * reach them any more. */
constexpr std::uint64_t nodes_lost_one_in = 2;
constexpr std::uint64_t nodes_lost_after_ms = 3200;
constexpr std::uint64_t nodes_lost_spread_ms = 1500;

fault_kind draw_kind(const std::function<std::uint64_t()>& random, const soak_config& config) {
    if (config.is_planned_only())
        return planned_kinds.at(random() % planned_kinds.size());
    if (config.has_many_departures() && random() % 2 == 0)
        return departure_kinds.at(random() % departure_kinds.size());
    if (random() % versions_one_in == 0)
        return fault_kind::version_written;
    return static_cast<fault_kind>(random() % drawn_kinds);
}

void sort_by_time(std::vector<planned_fault>& plan) {
    std::stable_sort(plan.begin(), plan.end(),
                     [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; });
}

} // namespace

std::string_view to_string(fault_kind it) {
    return names.at(static_cast<std::size_t>(it));
}

std::vector<planned_fault> generate_faults(const std::function<std::uint64_t()>& random,
                                           const soak_config& config) {
    std::vector<planned_fault> plan;
    using std::chrono::milliseconds;
    const auto random_ms = [&](std::uint64_t max) { return milliseconds{1 + random() % max}; };
    duration at = random_ms(mean_gap_ms);
    while (at < config.fault_duration) {
        planned_fault it;
        it.kind = draw_kind(random, config);
        const bool affects_servers =
            it.kind >= fault_kind::servers_paused && it.kind <= fault_kind::servers_cut;
        it.target = static_cast<std::uint32_t>(random() % (affects_servers ? config.replicas : config.nodes));
        it.service = static_cast<std::uint32_t>(random() % service_count);
        const std::uint64_t times = random() % series_one_in == 0 ? 2 + random() % (max_in_series - 1) : 1;
        duration next = at;
        for (std::uint64_t n = 0; n < times && next < config.fault_duration; ++n) {
            it.at = next;
            const duration length = milliseconds{min_length_ms} + random_ms(max_length_ms - min_length_ms);
            it.length = std::min<duration>(length, config.fault_duration - it.at);
            plan.push_back(it);
            const duration lost_at =
                it.at + milliseconds{nodes_lost_after_ms} + random_ms(nodes_lost_spread_ms);
            if (it.kind == fault_kind::servers_leaving && random() % nodes_lost_one_in == 0 &&
                lost_at < config.fault_duration)
                plan.push_back({lost_at, duration{0}, fault_kind::nodes_killed,
                                static_cast<std::uint32_t>(random() % config.nodes), 0});
            next += random_ms(series_gap_ms);
        }
        at += random_ms(2 * mean_gap_ms);
    }
    sort_by_time(plan);
    return plan;
}

void add_crowds(std::vector<planned_fault>& plan, const std::function<std::uint64_t()>& random,
                const soak_config& config) {
    const auto longest = static_cast<std::uint64_t>(to_milliseconds(config.fault_duration));
    if (!config.has_crowds() || longest == 0)
        return;
    const std::uint64_t count = 1 + random() % max_crowds;
    for (std::uint64_t n = 0; n < count; ++n) {
        planned_fault it;
        it.kind = fault_kind::callers_crowding;
        it.at = std::chrono::milliseconds{random() % longest};
        it.length = std::min<duration>(std::chrono::milliseconds{1000 + random() % 5000},
                                       config.fault_duration - it.at);
        it.target = static_cast<std::uint32_t>(random() % config.nodes);
        it.service = static_cast<std::uint32_t>(random() % crowd_kinds);
        plan.push_back(it);
    }
    sort_by_time(plan);
}

void add_lone_node(std::vector<planned_fault>& plan, const std::function<std::uint64_t()>& random,
                   const soak_config& config) {
    constexpr duration length = std::chrono::seconds{12};
    if (!config.leaves_node_alone() || config.fault_duration <= length)
        return;
    const auto latest = static_cast<std::uint64_t>(to_milliseconds(config.fault_duration - length));
    const auto left = static_cast<std::uint32_t>(random() % config.nodes);
    plan.push_back(
        {std::chrono::milliseconds{random() % latest}, length, fault_kind::node_left_alone, left, 0});
    sort_by_time(plan);
}

void add_odd_entries(std::vector<planned_fault>& plan, const std::function<std::uint64_t()>& random,
                     const soak_config& config) {
    const auto longest = static_cast<std::uint64_t>(to_milliseconds(config.fault_duration));
    if (longest == 0)
        return;
    for (std::uint64_t n = 1 + random() % max_odd_entries; n > 0; --n)
        plan.push_back({std::chrono::milliseconds{random() % longest}, duration{0}, fault_kind::entry_odd,
                        static_cast<std::uint32_t>(random()), 0});
    sort_by_time(plan);
}

} // namespace pollengrade
