/** @file main.cpp Performs one soak run against processes started by tools/soak. */
#include <cstdlib>
#include <iostream>
#include <memory>

#include <cxxopts.hpp>

#include "fault_injector.h"
#include "load_generator.h"
#include "operator_client.h"
#include "readiness_checker.h"
#include "result_checks.h"
#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"
#include "runtime/program_func.h"
#include "runtime/random_source.h"

namespace pollengrade {

namespace {

constexpr duration warmup_time =
    std::chrono::seconds{3}; ///< load without faults, before the fault schedule is started
constexpr duration recovery_check_time = std::chrono::seconds{
    4}; ///< length of the check after the recovery time, and of the wait for the last replies
constexpr std::size_t bytes_per_megabyte = 1'000'000;
constexpr duration lag_period =
    std::chrono::milliseconds{50}; ///< between measurements of this program's own timer lag
constexpr duration max_lag =
    std::chrono::milliseconds{150}; ///< a longer lag makes all time measurements unreliable

/** One run: constant load, with faults for a limited time, then time for recovery. */
class soak_run {
public:
    soak_run(loop_clock& clock, soak_config config, double rate, bool ends_with_kill)
        : config_{std::move(config)}, timers_{clock.timers()}, random_{seeded_random(config_.seed)},
          loop_{g_main_loop_new(nullptr, FALSE)}, poller_{clock}, operator_{poller_, timers_, config_},
          injector_{poller_, timers_, config_, operator_}, ready_{poller_, timers_, config_},
          load_{poller_,
                timers_,
                seeded_random(config_.seed + 1),
                config_,
                operator_.versions(),
                [this] { return ready_.pick_node(random_); }},
          rate_{rate}, ends_with_kill_{ends_with_kill} {}

    /** @return whether the nodes became ready and the run was performed. */
    bool play() {
        if (!injector_.start_links())
            return false;
        operator_.write({0, 1, 2, 3, 4, 5});
        ready_.start();
        injector_.watch_memory();
        watch_lag(timers_.now());
        wait_for_nodes();
        g_main_loop_run(loop_.get());
        return started_;
    }

    [[nodiscard]] soak_results results() {
        soak_results it;
        it.records = load_.records();
        it.versions = operator_.versions();
        disturbances_.insert(disturbances_.end(), injector_.disturbances().begin(),
                             injector_.disturbances().end());
        it.disturbances = disturbances_;
        it.server_disturbances = injector_.server_disturbances();
        it.runs = read_runs(config_.directory, config_.replicas);
        it.departures = read_departures(config_.directory, config_.replicas);
        it.net = config_.net;
        it.unix_ms_at_zero =
            wall_now().time_since_epoch().count() - to_milliseconds(monotonic_now().time_since_epoch());
        it.node_exit_codes = read_exit_codes(config_.directory, config_.nodes);
        it.overdue_stops = injector_.overdue_stops();
        it.highest_memory = injector_.highest_memory();
        it.last_fault = last_fault_;
        return it;
    }

private:
    void wait_for_nodes() {
        constexpr duration period = std::chrono::milliseconds{100};
        constexpr duration limit = std::chrono::seconds{30};
        if (ready_wait_ >= limit) {
            g_main_loop_quit(loop_.get());
            return;
        }
        if (ready_.count() < config_.nodes || !operator_.is_acknowledged()) {
            ready_wait_ += period;
            timers_.schedule_after(period, [this] { wait_for_nodes(); });
            return;
        }
        started_ = true;
        load_.start(rate_);
        timers_.schedule_after(warmup_time, [this] { begin_faults(); });
    }

    void begin_faults() {
        std::vector<planned_fault> plan = generate_faults(random_, config_);
        add_crowds(plan, seeded_random(config_.seed + 2), config_);
        add_odd_entries(plan, seeded_random(config_.seed + 3), config_);
        add_lone_node(plan, seeded_random(config_.seed + 4), config_);
        injector_.schedule(plan);
        timers_.schedule_after(config_.fault_duration, [this] {
            if (ends_with_kill_)
                injector_.kill_all();
            last_fault_ = timers_.now();
            timers_.schedule_after(max_recovery_time + recovery_check_time, [this] {
                load_.stop();
                timers_.schedule_after(recovery_check_time, [this] { g_main_loop_quit(loop_.get()); });
            });
        });
    }

    /** Records delays of this program as disturbances, because times measured during them do not describe the
     * nodes. */
    void watch_lag(time_point due) {
        const time_point now = monotonic_now();
        if (now - due > max_lag) {
            std::cout << "timer lag of this program: " << to_milliseconds(now - due) << " ms\n";
            disturbances_.push_back({all_nodes, due, now, false});
        }
        timers_.schedule_after(lag_period, [this, next = timers_.now() + lag_period] { watch_lag(next); });
    }

    soak_config config_;
    timer_queue& timers_;
    std::function<std::uint64_t()> random_;
    gmain_loop_ptr loop_;
    socket_poller poller_;
    operator_client operator_;
    fault_injector injector_;
    readiness_checker ready_;
    load_generator load_;
    double rate_;
    bool ends_with_kill_;
    bool started_ = false;
    duration ready_wait_{};
    time_point last_fault_{};
    std::vector<disturbance> disturbances_; ///< delays of this program; the injector's are added in results()
};

int run(int argc, char** argv) {
    cxxopts::Options options{"pollengrade_soak",
                             "Generates load, injects faults and checks the results; started by tools/soak."};
    options.add_options()("directory", "directory of process IDs and logs", cxxopts::value<std::string>())(
        "seed", "seed of all random decisions", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "net", "second octet of the addresses", cxxopts::value<std::uint32_t>()->default_value("20"))(
        "nodes", "number of nodes that were started", cxxopts::value<std::uint32_t>()->default_value("4"))(
        "seconds", "seconds during which faults are injected",
        cxxopts::value<std::uint32_t>()->default_value("20"))("rate", "requests per second",
                                                              cxxopts::value<double>()->default_value("150"));
    const auto flags = options.parse(argc, argv);
    soak_config config;
    config.seed = flags["seed"].as<std::uint64_t>();
    config.net = flags["net"].as<std::uint32_t>();
    config.nodes = flags["nodes"].as<std::uint32_t>();
    config.fault_duration = std::chrono::seconds{flags["seconds"].as<std::uint32_t>()};
    config.directory = flags["directory"].as<std::string>();
    loop_clock clock;
    soak_run soak{clock, config, flags["rate"].as<double>(),
                  config.seed % 2 == 0 && !config.is_planned_only()};
    if (!soak.play()) {
        std::cout << "the nodes did not become ready\n";
        return EXIT_FAILURE;
    }
    const soak_results results = soak.results();
    std::size_t served = 0;
    for (const request_record& it : results.records)
        served += it.outcome == soak_outcome::replied && it.status == 200 ? 1 : 0; // NOLINT(*-magic-numbers)
    std::cout << results.records.size() << " requests, " << served << " served, " << results.runs.size()
              << " runs at servers, " << results.versions.size() << " versions, "
              << results.highest_memory / bytes_per_megabyte << " MB in a node at most\n";
    const auto violations = check_results(results);
    for (const violation& it : violations)
        std::cout << "BROKEN " << it.check << ": " << it.details << "\n";
    return violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

} // namespace pollengrade

int main(int argc, char** argv) {
    return pollengrade::run_program("pollengrade_soak", [&] { return pollengrade::run(argc, argv); });
}
