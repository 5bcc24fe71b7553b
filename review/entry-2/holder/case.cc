/** @file case.cc Six machines with a holder. One machine after the other is without the store while the configuration
 * changes. If it is the holder, it runs other machines' gathers by the old routes after these have shown the new version. */
#include "../../stand/stand.hh"

using namespace stand;

namespace {

constexpr int machines = 6;
constexpr int clients_per_node = 6;
constexpr int pause_ms = 15;
constexpr int rollback_slack_ms = 250; ///< rollback-slack-ms
constexpr int silent_first_ms = 2500;  ///< the store is silent to one machine before the change
constexpr int silent_after_ms = 2800;  ///< and after it; the site has 9 s
constexpr int slots = 12;

std::string config(int version, bool is_new) {
    std::string shards;
    std::string services;
    for (int n = 1; n <= 8; ++n) {
        const std::string it = "shard-" + std::to_string(n);
        if ((n > 4) == is_new)
            shards += (shards.empty() ? "\"" : ",\"") + it + "\"";
        services += std::string{R"({"name":")"} + it +
                    R"(","health-check-path":"/health","max-connections":6,"protocol":"h1","tls":false},)";
    }
    return R"({"config-version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-orders","hostname":"orders.example","path-prefix":"/orders/","kind":"unsafe",)"
           R"("timeout-ms":5000,"target-latency-ms":500,"priority":2,"service":")" +
           (is_new ? "ledger-b" : "ledger-a") +
           R"(","max-attempts":2},)"
           R"({"name":"r-search","hostname":"search.example","path-prefix":"/search/","kind":"safe","timeout-ms":1200,)"
           R"("target-latency-ms":120,"priority":1,"gather":[)" +
           shards + R"(],"max-attempts":2,"top-k":5,"min-shard-ratio":0.75}],"services":[)" + services +
           R"({"name":"ledger-a","health-check-path":"/health","max-connections":52,"protocol":"h1","tls":false},)"
           R"({"name":"ledger-b","health-check-path":"/health","max-connections":52,"protocol":"h1","tls":false}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

bool is_of_new(const std::string& service) {
    return service == "ledger-b" || (service.starts_with("shard-") && service.back() > '4');
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 4)
        return could_not_run;
    record log{argv[3]};
    store platform{"127.0.0.1:0"};
    const std::vector<std::string> zones{"lhr", "khi", "fsd"};
    std::mutex mutex;
    struct sent {
        int machine;
        std::int64_t at;
        bool counts;
    };
    std::map<std::string, sent> requests;
    int version = 0;                                     // newest; the turn
    bool newest_is_new = false;
    std::vector<std::int64_t> shown(machines, INT64_MAX); // when a server first saw the effect of the newest version
    int regressed = 0;
    std::int64_t latest = 0;
    const auto ran = [&](const message& in, const std::string& service) {
        const std::lock_guard lock{mutex};
        const auto it = requests.find(in.field("X-Request-Id"));
        if (it == requests.end())
            return;
        const sent& own = it->second;
        std::int64_t& first = shown[static_cast<std::size_t>(own.machine)];
        if (is_of_new(service) == newest_is_new) {
            first = std::min(first, log.now());
        } else if (own.counts && first != INT64_MAX && own.at > first + rollback_slack_ms) {
            ++regressed;
            latest = std::max(latest, own.at - first);
            log.line("CONFIG: " + in.field("X-Request-Id") + ", sent to machine " + std::to_string(own.machine + 1) + " " +
                     std::to_string(own.at - first) + " ms after a server had seen version " + std::to_string(version) +
                     " from it, was run by " + service);
        }
    };
    std::vector<std::unique_ptr<server>> servers;
    std::vector<std::string> services{"ledger-a", "ledger-b"};
    for (int n = 1; n <= 8; ++n)
        services.push_back("shard-" + std::to_string(n));
    for (const std::string& service : services)
        for (std::size_t n = 0; n < zones.size(); ++n) {
            servers.push_back(std::make_unique<server>(
                log, platform, "127.0.0.1", service, "i-" + service + "-" + std::to_string(n + 1), slots,
                [&, service](const message& in) {
                    ran(in, service);
                    return server_answer{"200 OK", 5};
                },
                zones[n]));
            servers.back()->report("ready");
        }
    platform.put("config", "main", config(7, false));
    std::vector<std::string> stores;
    for (int n = 0; n < machines; ++n)
        stores.push_back(platform.address_for(n));
    fleet nodes{argv[1], argv[2], stores, machines, zones};
    for (int n = 0; n < machines; ++n)
        nodes.start(n);
    for (int n = 0; n < machines; ++n)
        if (!nodes.await_ready(n, 15000))
            return could_not_run;
    sleep_ms(5000);
    std::atomic<bool> stop = false;
    std::atomic<int> cut = -1;
    std::atomic<int> served = 0;
    std::vector<std::thread> clients;
    for (int n = 0; n < machines; ++n)
        for (int k = 0; k < clients_per_node; ++k)
            clients.emplace_back([&, n, k] {
                client it{nodes.frontend(n)};
                for (int count = k; !stop; ++count) {
                    const std::string id = new_id();
                    const bool is_order = count % 2 == 0;
                    {
                        const std::lock_guard lock{mutex};
                        requests[id] = {n, log.now(), n != cut};
                    }
                    log.line("client sends " + id + (is_order ? " (order)" : " (search)") + " to machine " +
                             std::to_string(n + 1));
                    const outcome out = is_order ? it.send("POST", "/orders/1", "orders.example", id, 5000, "an order")
                                                 : it.send("GET", "/search/1", "search.example", id, 1200);
                    log.line("client gets " + out.text() + " for " + id);
                    served += out.how == outcome::answered && out.reply.status() == 200;
                    sleep_ms(pause_ms);
                }
            });
    sleep_ms(3000);
    for (int n = 0; n < machines; ++n) {
        cut = n;
        if (trouble())
            platform.set_silent(n, true);
        sleep_ms(silent_first_ms);
        {
            const std::lock_guard lock{mutex};
            version = 9 + 2 * n;
            newest_is_new = n % 2 == 0;
            std::fill(shown.begin(), shown.end(), INT64_MAX);
            requests.clear();
        }
        const int before = regressed;
        platform.put("config", "main", config(9 + 2 * n, n % 2 == 0));
        log.say("machine " + std::to_string(n + 1) + (trouble() ? " is without the store" : " is not disturbed") +
                "; version " + std::to_string(9 + 2 * n) + " is acknowledged");
        sleep_ms(silent_after_ms);
        platform.set_silent(n, false);
        sleep_ms(5000);
        log.say("requests at other machines by the older version after these had shown the newer one: " +
                std::to_string(regressed - before));
    }
    stop = true;
    for (std::thread& it : clients)
        it.join();
    nodes.end_all();
    log.say("served " + std::to_string(served) + ", regressed " + std::to_string(regressed) + ", up to " +
            std::to_string(latest) + " ms after");
    if (served == 0)
        ::_exit(could_not_run);
    log.say(regressed > 0 ? "CONFIG is broken" : "CONFIG held");
    std::fflush(nullptr);
    ::_exit(regressed > 0 ? broken : held);
}
