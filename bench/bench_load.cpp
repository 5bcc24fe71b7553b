/** @file bench_load.cpp An open-loop load generator: requests are sent independently of answers, and
 * latency is counted from the intended send time. */
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <cxxopts.hpp>
#include <libsoup/soup.h>
#include <unistd.h>

#include "core/base/metrics.h"
#include "http/header_names.h"
#include "http/uri_func.h"
#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"
#include "runtime/program_func.h"
#include "runtime/random_source.h"
#include "soup/soup_func.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

constexpr std::uint32_t sessions_per_target = 4; ///< spreads the client's connections over sessions
constexpr std::uint32_t connections_per_session = 64;

/** Settings of a run. */
struct load_settings {
    std::vector<std::string> targets; ///< "IPv4:port" of listeners
    std::string path;                 ///< path and query
    double rate = 0;                  ///< requests per second over all targets
    double seconds = 0;               ///< duration of the measured part
    double warmup_seconds = 0;        ///< duration of the warm-up, which is not measured
    std::string deadline_ms;          ///< empty for the service's default
    std::uint64_t seed = 0;           ///< random seed of the send times
};

/** Results of the measured part of a run. */
struct load_result {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0; ///< no reply, or one without a known outcome
    std::uint64_t included = 0;
    std::uint64_t missing = 0;
    latency_histogram latency; ///< of answered and partial requests
    latency_histogram refusal; ///< of refused requests
};

/** Processor time and memory of a process, read from /proc. */
struct process_usage {
    double cpu_seconds = 0;
    double resident_mb = 0;
};

process_usage usage_of(const std::string& pid) {
    std::ifstream in{"/proc/" + pid + "/stat"};
    std::string text;
    std::getline(in, text);
    const auto end = text.rfind(')');
    if (end == std::string::npos)
        return {};
    std::istringstream fields{text.substr(end + 1)};
    constexpr int user_field = 12; // Counted from the state field, which is the first.
    constexpr int resident_field = 22;
    constexpr double bytes_per_mb = 1e6;
    process_usage it;
    std::string field;
    for (int n = 1; fields >> field; ++n) {
        if (n == user_field || n == user_field + 1)
            it.cpu_seconds += std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
        if (n == resident_field)
            it.resident_mb = std::stod(field) * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_mb;
    }
    return it;
}

/** Sends requests at random times and records their outcomes. */
class open_loop {
public:
    open_loop(loop_clock& clock, load_settings settings, std::function<void()> done)
        : clock_{clock}, settings_{std::move(settings)}, random_{seeded_random(settings_.seed)},
          done_{std::move(done)}, next_{clock_.timers().now()},
          measured_from_{next_ + to_duration(settings_.warmup_seconds)}, end_{
                                                                             measured_from_ +
                                                                             to_duration(settings_.seconds)} {
        for (std::uint32_t n = 0; n < sessions_per_target * settings_.targets.size(); ++n)
            sessions_.push_back(make_session(connections_per_session, 60));
    }

    void start() { schedule(); }
    [[nodiscard]] const load_result& result() const noexcept { return result_; }
    /** Sets a hook called when the measured part begins. */
    void set_measure_hook(std::function<void()> hook) { on_measure_ = std::move(hook); }

private:
    struct exchange {
        open_loop* owner = nullptr;
        time_point intended;
        gobject_ptr<SoupMessage> message;
    };

    static duration to_duration(double seconds) {
        return duration{static_cast<duration::rep>(seconds * 1e6)};
    }

    void schedule() {
        // Exponentially distributed gaps make the arrivals independent of each other (a Poisson process).
        const double uniform = (static_cast<double>(random_() >> 11U) + 1) / 9007199254740993.0;
        next_ += to_duration(-std::log(uniform) / settings_.rate);
        if (next_ >= end_) {
            sending_ = false;
            end_if_idle();
            return;
        }
        clock_.timers().schedule_at(next_, [this] {
            send();
            schedule();
        });
    }

    void send() {
        if (next_ >= measured_from_ && on_measure_)
            std::exchange(on_measure_, nullptr)();
        const std::size_t n = count_++;
        const std::string& target = settings_.targets[n % settings_.targets.size()];
        auto it = std::make_unique<exchange>();
        it->owner = this;
        it->intended = next_;
        it->message.reset(soup_message_new("GET", ("http://" + target + settings_.path).c_str()));
        if (!settings_.deadline_ms.empty())
            soup_message_headers_append(soup_message_get_request_headers(it->message.get()),
                                        deadline_ms_header, settings_.deadline_ms.c_str());
        ++open_;
        if (next_ >= measured_from_)
            ++result_.sent;
        exchange* raw = it.release();
        soup_session_send_and_read_async(sessions_[n % sessions_.size()].get(), raw->message.get(),
                                         G_PRIORITY_DEFAULT, nullptr, &open_loop::on_reply, raw);
    }

    static void on_reply(GObject* session, GAsyncResult* result, gpointer data) {
        const std::unique_ptr<exchange> it{static_cast<exchange*>(data)};
        GError* error = nullptr;
        const gbytes_ptr body{soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error)};
        const gerror_ptr ec{error};
        open_loop& owner = *it->owner;
        owner.clock_.sync();
        --owner.open_;
        if (it->intended >= owner.measured_from_)
            owner.record_reply(*it, ec ? std::string_view{} : view_of(body.get()));
        owner.end_if_idle();
    }

    void record_reply(const exchange& it, std::string_view body) {
        const duration latency = clock_.timers().now() - it.intended;
        const auto document = json_document::parse(body);
        const auto outcome = document ? document->root().text("outcome") : std::nullopt;
        if (outcome == "answered" || outcome == "partial") {
            ++(outcome == "answered" ? result_.answered : result_.partial);
            result_.latency.add(latency);
            const auto coverage = document->root().member("coverage");
            result_.included += coverage->member("included")->elements()->size();
            result_.missing += coverage->member("missing")->elements()->size();
        } else if (outcome == "refused") {
            ++result_.refused;
            result_.refusal.add(latency);
        } else {
            ++result_.failed;
        }
    }

    void end_if_idle() {
        if (!sending_ && open_ == 0 && done_)
            std::exchange(done_, nullptr)();
    }

    loop_clock& clock_;
    load_settings settings_;
    std::function<std::uint64_t()> random_;
    std::function<void()> done_;
    std::function<void()> on_measure_;
    time_point next_;
    time_point measured_from_;
    time_point end_;
    std::vector<gobject_ptr<SoupSession>> sessions_;
    load_result result_;
    std::size_t count_ = 0;
    std::size_t open_ = 0;
    bool sending_ = true;
};

void print_result(const load_result& it, const load_settings& settings, double cpu_seconds,
                  double resident_mb) {
    const auto answers = it.answered + it.partial;
    const double covered = static_cast<double>(it.included) /
                           static_cast<double>(std::max<std::uint64_t>(1, it.included + it.missing));
    std::printf(
        "rate=%.0f sent=%llu answered=%llu partial=%llu refused=%llu failed=%llu coverage=%.4f "
        "p50_ms=%.1f p99_ms=%.1f p999_ms=%.1f refusal_p99_ms=%.1f cpu_ms_per_query=%.2f cpu_cores=%.3f "
        "resident_mb=%.1f\n",
        settings.rate, static_cast<unsigned long long>(it.sent), static_cast<unsigned long long>(it.answered),
        static_cast<unsigned long long>(it.partial), static_cast<unsigned long long>(it.refused),
        static_cast<unsigned long long>(it.failed), covered,
        static_cast<double>(it.latency.quantile(0.5).count()) / 1000,
        static_cast<double>(it.latency.quantile(0.99).count()) / 1000,
        static_cast<double>(it.latency.quantile(0.999).count()) / 1000,
        static_cast<double>(it.refusal.quantile(0.99).count()) / 1000,
        cpu_seconds * 1000 / static_cast<double>(std::max<std::uint64_t>(1, answers)),
        cpu_seconds / settings.seconds, resident_mb);
}

int run(int argc, char** argv) {
    cxxopts::Options options{"bench_load", "Open-loop load generator for listeners; prints one row."};
    options.add_options()("target", "IPv4:port of a listener; may be repeated",
                          cxxopts::value<std::vector<std::string>>())(
        "path", "path and query",
        cxxopts::value<std::string>()->default_value("/v1/catalogue-desk/search?q=vine"))(
        "rate", "requests per second", cxxopts::value<double>()->default_value("100"))(
        "seconds", "duration of the measured part in seconds", cxxopts::value<double>()->default_value("5"))(
        "warmup", "duration of the warm-up in seconds", cxxopts::value<double>()->default_value("1"))(
        "deadline-ms", "value of the deadline header", cxxopts::value<std::string>()->default_value(""))(
        "seed", "random seed of the send times", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "pid", "processes whose processor time and memory are reported",
        cxxopts::value<std::vector<std::string>>());
    const auto flags = options.parse(argc, argv);
    const load_settings settings{flags["target"].as<std::vector<std::string>>(),
                                 flags["path"].as<std::string>(),
                                 flags["rate"].as<double>(),
                                 flags["seconds"].as<double>(),
                                 flags["warmup"].as<double>(),
                                 flags["deadline-ms"].as<std::string>(),
                                 flags["seed"].as<std::uint64_t>()};
    std::vector<std::string> pids;
    if (flags.count("pid") > 0)
        pids = flags["pid"].as<std::vector<std::string>>();
    const auto total = [&] {
        process_usage sum;
        for (const std::string& it : pids) {
            const process_usage one = usage_of(it);
            sum.cpu_seconds += one.cpu_seconds;
            sum.resident_mb += one.resident_mb;
        }
        return sum;
    };
    loop_clock clock;
    const gmain_loop_ptr loop{g_main_loop_new(nullptr, FALSE)};
    open_loop load{clock, settings, [&] { g_main_loop_quit(loop.get()); }};
    process_usage before = total();
    load.set_measure_hook([&] { before = total(); });
    load.start();
    g_main_loop_run(loop.get());
    const process_usage after = total();
    print_result(load.result(), settings, after.cpu_seconds - before.cpu_seconds, after.resident_mb);
    return EXIT_SUCCESS;
}

} // namespace

} // namespace pollengrade

int main(int argc, char** argv) {
    return pollengrade::run_program("bench_load", [&] { return pollengrade::run(argc, argv); });
}
