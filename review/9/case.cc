/** @file case.cc The first three of six machines are lost for good; they were the seeds of all. Another machine takes their
 * place just then, with these seeds. It acts for good on the configuration that it read at its start. */
#include "../stand/stand.hh"

using namespace stand;

namespace {

constexpr int first_count = 3;          ///< machines at the start; the seeds of all
constexpr int replacement = 6;          ///< the machine that is added after the loss
constexpr int count_of_all = 7;
constexpr int added_after_ms = 1000;    ///< the loss
constexpr int clients_per_node = 3;
constexpr int pause_ms = 40;            ///< of a client between its requests
constexpr int gap_ms = 1000;            ///< between two machines that are added
constexpr int seed_lag_ms = 3000;       ///< seed-lag-s
constexpr int contact_ms = 4000;        ///< contact-ms
constexpr int config_apply_ms = 3000;   ///< config-apply-ms
constexpr int watched_ms = 20000;       ///< for which requests are counted
constexpr int slots = 6;
constexpr int time_limit_ms = 112000;

/** Orders of a machine's clients that were sent when the newest version was due. */
struct counts {
    std::atomic<int> by_old = 0, by_new = 0, not_run = 0;
};

std::string config(int version, const std::string& service) {
    std::string shards;
    std::string services;
    for (const char* it : {"shard-1", "shard-2", "shard-3", "shard-4"}) {
        shards += (shards.empty() ? "\"" : ",\"") + std::string{it} + "\"";
        services += std::string{R"({"name":")"} + it +
                    R"(","health-check-path":"/health","max-connections":31,"protocol":"h1","tls":false},)";
    }
    return R"({"config-version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-orders","hostname":"orders.example","path-prefix":"/orders/","kind":"unsafe",)"
           R"("timeout-ms":5000,"target-latency-ms":500,"priority":2,"service":")" +
           service +
           R"(","max-attempts":2},)"
           R"({"name":"r-search","hostname":"search.example","path-prefix":"/search/","kind":"safe","timeout-ms":1200,)"
           R"("target-latency-ms":120,"priority":1,"gather":[)" +
           shards + R"(],"max-attempts":2,"top-k":5,"min-shard-ratio":0.75}],"services":[)" + services +
           R"({"name":"ledger-a","health-check-path":"/health","max-connections":52,"protocol":"h1","tls":false},)"
           R"({"name":"ledger-b","health-check-path":"/health","max-connections":52,"protocol":"h1","tls":false}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

std::string read_file(const std::string& path) {
    std::ifstream in{path};
    return {std::istreambuf_iterator<char>{in}, {}};
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 4)
        return could_not_run;
    const std::string root = argv[1];
    record log{argv[3]};
    store platform{"127.0.0.1:0"};
    const std::vector<std::string> zones{"lhr", "khi", "fsd"};
    std::mutex mutex;
    std::map<std::string, std::string> service_of; // that ran a request, by X-Request-Id
    std::vector<std::unique_ptr<server>> servers;
    for (const char* service : {"ledger-a", "ledger-b", "shard-1", "shard-2", "shard-3", "shard-4"})
        for (std::size_t n = 0; n < zones.size(); ++n) {
            const std::string id = std::string{"i-"} + service + "-" + std::to_string(n + 1);
            servers.push_back(std::make_unique<server>(
                log, platform, "127.0.0.1", service, id, slots,
                [&, name = std::string{service}](const message& in) {
                    const std::lock_guard lock{mutex};
                    service_of[in.field("X-Request-Id")] = name;
                    return server_answer{"200 OK", name.starts_with("ledger") ? 20 : 5};
                },
                zones[n]));
            servers.back()->report("ready");
        }
    platform.put("config", "main", config(7, "ledger-a"));

    fleet nodes{root, argv[2], {platform.address()}, count_of_all, zones};
    const std::string settings = read_file(root + "/platform/node.ini");
    std::thread{[&] {
        sleep_ms(time_limit_ms);
        nodes.end_all();
        log.say("the time is over");
        ::_exit(could_not_run);
    }}.detach();
    const auto seeds_from = [&](int first) {
        std::string list;
        for (int k = first; k < first + 3; ++k)
            list += (list.empty() ? "" : ",") + nodes.ip(k) + ":8224";
        return list;
    };
    const auto start = [&](int n, int first_seed) {
        std::string own = settings;
        const std::string placeholder = "{{seed-nodes}}";
        own.replace(own.find(placeholder), placeholder.size(), seeds_from(first_seed));
        nodes.use_settings(own);
        nodes.start(n);
        log.line("machine " + std::to_string(n + 1) + " is started, its seeds are machines " +
                 std::to_string(first_seed + 1) + " to " + std::to_string(first_seed + 3));
    };
    /** Puts the new seeds into a machine's settings file, and sends SIGHUP. */
    const auto change_seeds = [&](int n) {
        const std::string path = std::string{argv[2]} + "/settings-" + std::to_string(n) + ".toml";
        std::string text = read_file(path);
        if (const auto at = text.find(seeds_from(0)); at != std::string::npos)
            text.replace(at, seeds_from(0).size(), seeds_from(first_count));
        std::ofstream{path} << text;
        ::kill(nodes.pid(n), SIGHUP);
        log.line("machine " + std::to_string(n + 1) + ": new seeds in its settings file, SIGHUP");
    };

    std::atomic<bool> stop = false;
    std::atomic<std::int64_t> due = INT64_MAX;
    std::vector<std::atomic<bool>> has_left(count_of_all);
    std::vector<counts> seen(count_of_all);
    std::vector<std::thread> clients;
    const auto serve_clients = [&](int n) {
        for (int k = 0; k < clients_per_node; ++k)
            clients.emplace_back([&, n, k] {
                client it{nodes.frontend(n)};
                counts& own = seen[static_cast<std::size_t>(n)];
                for (int count = k; !stop && !has_left[static_cast<std::size_t>(n)]; ++count) {
                    const std::string id = new_id();
                    const bool is_order = count % 2 == 0;
                    const std::int64_t sent = log.now();
                    log.line("client sends " + id + (is_order ? " (order)" : " (search)") + " to machine " +
                             std::to_string(n + 1));
                    const outcome out = is_order
                                            ? it.send("POST", "/orders/1", "orders.example", id, 5000, "an order")
                                            : it.send("GET", "/search/1", "search.example", id, 1200);
                    log.line("client gets " + out.text() + " for " + id);
                    if (is_order && sent > due) {
                        const std::lock_guard lock{mutex};
                        const std::string ran = service_of[id];
                        ++(ran == "ledger-a" ? own.by_old : ran == "ledger-b" ? own.by_new : own.not_run);
                        if (ran == "ledger-a")
                            log.line("CONFIG: " + id + ", sent " + std::to_string(sent - due + config_apply_ms) +
                                     " ms after version 9 was acknowledged, was run by ledger-a");
                    }
                    sleep_ms(pause_ms);
                }
            });
    };
    const auto await_ready = [&](int n) {
        if (!nodes.await_ready(n, 15000)) {
            log.say("machine " + std::to_string(n + 1) + " did not become ready");
            nodes.end_all();
            ::_exit(could_not_run);
        }
    };
    const auto run = [&](int n) {
        await_ready(n);
        serve_clients(n);
    };
    for (int n = 0; n < first_count; ++n)
        start(n, 0);
    for (int n = 0; n < first_count; ++n)
        run(n);
    sleep_ms(3000);
    for (int n = first_count; n < replacement; ++n) {
        start(n, 0);
        run(n);
        sleep_ms(gap_ms);
    }
    sleep_ms(3000);
    const std::int64_t lost_at = log.now();
    for (int n = 0; n < first_count; ++n) {
        has_left[static_cast<std::size_t>(n)] = true;
        ::kill(nodes.pid(n), SIGKILL);
    }
    log.say("machines 1 to 3 are lost for good");
    sleep_ms(added_after_ms);
    start(replacement, trouble() ? 0 : first_count);
    log.say(std::string{"machine 7 is added; its seeds are "} +
            (trouble() ? "the lost machines" : "machines that run"));
    run(replacement);
    sleep_ms(static_cast<int>(std::max<std::int64_t>(0, lost_at + seed_lag_ms - log.now())));
    for (int n = first_count; n < count_of_all; ++n)
        change_seeds(n);
    sleep_ms(contact_ms + 2000);
    platform.put("config", "main", config(9, "ledger-b"));
    due = log.now() + config_apply_ms;
    log.say("store acknowledged version 9: orders go to ledger-b instead of ledger-a");
    sleep_ms(config_apply_ms + watched_ms);
    stop = true;
    for (std::thread& it : clients)
        it.join();
    nodes.end_all();
    int late = 0;
    int good = 0;
    for (int n = first_count; n < count_of_all; ++n) {
        const counts& it = seen[static_cast<std::size_t>(n)];
        log.say("machine " + std::to_string(n + 1) + ", orders sent later than config-apply-ms: run by ledger-a " +
                std::to_string(it.by_old) + ", by ledger-b " + std::to_string(it.by_new) + ", not run " +
                std::to_string(it.not_run));
        late += it.by_old;
        good += it.by_new;
    }
    if (late + good == 0)
        ::_exit(could_not_run);
    log.say(late > 0 ? "CONFIG is broken" : "CONFIG held");
    std::fflush(nullptr);
    ::_exit(late > 0 ? broken : held);
}
