/** @file case.cc The store is silent to one machine of four, the one that watches it for all. The other
 * three, to which nothing is done, keep acting on the old configuration. */
#include "../stand/stand.hh"

using namespace stand;

namespace {

constexpr int node_count = 4;
constexpr int config_apply_ms = 3000;
constexpr int drain_ms = 3000;
constexpr int silence_ms = 9000; ///< platform_down, nodes: for_s = 9.0 in the site files
constexpr int clients_per_node = 3;
constexpr int pause_ms = 60;
constexpr int deadline_ms = 2000;

std::string config(int version, const std::string& service) {
    return R"({"config-version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-orders","hostname":"orders.example","path-prefix":"/orders/","kind":"unsafe",)"
           R"("timeout-ms":2000,"target-latency-ms":400,"priority":1,"service":")" +
           service +
           R"(","max-attempts":2},)"
           R"({"name":"r-search","hostname":"search.example","path-prefix":"/search/","kind":"safe","timeout-ms":600,)"
           R"("target-latency-ms":60,"priority":1,"gather":["part-1","part-2"],"max-attempts":2,"top-k":5,"min-shard-ratio":0.5}],)"
           R"("services":[{"name":"ledger-a","health-check-path":"/health","max-connections":100,"protocol":"h1","tls":false},)"
           R"({"name":"ledger-b","health-check-path":"/health","max-connections":100,"protocol":"h1","tls":false},)"
           R"({"name":"part-1","health-check-path":"/health","max-connections":6,"protocol":"h1","tls":false},)"
           R"({"name":"part-2","health-check-path":"/health","max-connections":6,"protocol":"h1","tls":false}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 4)
        return could_not_run;
    record log{argv[3]};
    store platform{"127.0.0.1:0"};
    std::vector<std::string> addresses;
    for (int n = 0; n < node_count; ++n)
        addresses.push_back(platform.address_for(n));
    fleet nodes{argv[1], argv[2], addresses, node_count};
    std::mutex mutex;
    std::map<std::string, std::string> service_of; // that ran a request, by X-Request-Id
    std::map<std::string, std::atomic<std::int64_t>> draining_since;
    std::map<std::string, int> node_of; // that a client sent a request to, by X-Request-Id
    std::atomic<int> cut_node = -1;
    std::atomic<int> late_arrivals = 0;
    std::vector<std::unique_ptr<server>> servers;
    for (const char* service : {"ledger-a", "ledger-b", "part-1", "part-2"})
        for (int n = 1; n <= 2; ++n) {
            const std::string id = std::string{"i-"} + service + "-" + std::to_string(n);
            draining_since[id] = 0;
            servers.push_back(std::make_unique<server>(
                log, platform, "127.0.0.1", service, id, 4,
                [&, id, name = std::string{service}](const message& in) {
                    const std::string request = in.field("X-Request-Id");
                    const std::int64_t since = draining_since.at(id);
                    const std::lock_guard lock{mutex};
                    service_of[request] = name;
                    if (since != 0 && log.now() - since > drain_ms && node_of[request] != cut_node)
                        ++late_arrivals;
                    return server_answer{"200 OK", name.starts_with("ledger") ? 40 : 5};
                }));
            servers.back()->report("ready");
        }
    platform.put("config", "main", config(1, "ledger-a"));
    for (int n = 0; n < node_count; ++n)
        nodes.start(n);
    for (int n = 0; n < node_count; ++n)
        if (!nodes.await_ready(n, 15000))
            return could_not_run;
    log.line("nodes are ready");
    // Steady state: the watches that each node opened while it didn't know the others have ended.
    for (int n = 0; n < 80 && (n < 24 || platform.watchers("config").size() != 1); ++n)
        sleep_ms(500);

    std::atomic<bool> stop = false;
    std::atomic<std::int64_t> acknowledged = 0;
    std::atomic<int> stale = 0; ///< of nodes that nothing was done to
    std::atomic<int> moved = 0;
    std::atomic<int> lost = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> clients;
    for (int n = 0; n < node_count; ++n)
        for (int k = 0; k < clients_per_node; ++k)
            clients.emplace_back([&, n, k] {
                client it{nodes.frontend(n)};
                for (int count = 0; !stop; ++count) {
                    const std::string id = new_id();
                    const bool is_search = (count + k) % 3 == 0;
                    const std::int64_t sent = log.now();
                    {
                        const std::lock_guard lock{mutex};
                        node_of[id] = n;
                    }
                    log.line("client sends " + id + (is_search ? " (search)" : " (order)") + " to node " +
                             std::to_string(n + 1));
                    const outcome out = is_search ? it.send("GET", "/search/1", "search.example", id, 600)
                                                  : it.send("POST", "/orders/1", "orders.example", id,
                                                            deadline_ms, "an order");
                    log.line("client gets " + out.text() + " for " + id);
                    if (!is_search && n != cut_node) {
                        const std::lock_guard lock{mutex};
                        const std::int64_t from = acknowledged;
                        const bool is_due = from != 0 && sent > from + config_apply_ms;
                        const bool by_old = service_of.contains(id) && service_of.at(id) == "ledger-a";
                        stale += is_due && by_old;
                        moved += is_due && service_of.contains(id) && service_of.at(id) == "ledger-b";
                        const bool promised = out.how == outcome::answered && out.reply.status() == 503;
                        refused += promised;
                        lost += !promised && !(out.how == outcome::answered && out.reply.status() == 200);
                        if (is_due && by_old)
                            log.line("CONFIG: " + id + ", sent " + std::to_string(sent - from) +
                                     " ms after version 2 was acknowledged, was run by ledger-a");
                    }
                    sleep_ms(pause_ms);
                }
            });
    sleep_ms(2000);
    const auto watching = platform.watchers("config");
    std::string list;
    for (const int it : watching)
        list += " " + std::to_string(it + 1);
    log.say("nodes that watch the store:" + list);
    if (watching.empty())
        return could_not_run;
    cut_node = watching.front();
    if (trouble()) {
        platform.set_silent(cut_node, true);
        log.say("the store is silent to node " + std::to_string(cut_node + 1) + " alone, for 9 s");
    }
    const std::int64_t began = log.now();
    sleep_ms(500);
    platform.put("config", "main", config(2, "ledger-b"));
    acknowledged = log.now();
    log.say("store acknowledged version 2: orders move from ledger-a to ledger-b");
    sleep_ms(config_apply_ms);
    for (int n = 0; n < 2; ++n) { // Version 2 is due everywhere: the old servers leave.
        servers[static_cast<std::size_t>(n)]->report("draining");
        draining_since.at(servers[static_cast<std::size_t>(n)]->id()) = log.now();
    }
    sleep_ms(drain_ms + 700);
    for (int n = 0; n < 2; ++n) {
        servers[static_cast<std::size_t>(n)]->exit();
        platform.remove("servers", servers[static_cast<std::size_t>(n)]->id());
    }
    sleep_ms(static_cast<int>(std::max<std::int64_t>(0, began + silence_ms - log.now())));
    if (trouble()) {
        platform.set_silent(cut_node, false);
        log.say("the store answers node " + std::to_string(cut_node + 1) + " again");
    }
    sleep_ms(4000);
    stop = true;
    for (std::thread& it : clients)
        it.join();
    nodes.end_all();
    log.say("at the three other nodes, orders sent later than config-apply-ms after the acknowledgement: run "
            "by the old service " +
            std::to_string(stale) + ", by the new one " + std::to_string(moved));
    log.say(
        "there, orders that reached a server later than drain-ms after it was acknowledged as draining: " +
        std::to_string(late_arrivals) + "; orders without an answer or with 502 or 504: " +
        std::to_string(lost) + ", refused: " + std::to_string(refused));
    const bool is_broken = stale > 0;
    log.say(is_broken ? "CONFIG is broken" : "CONFIG held");
    std::fflush(nullptr);
    ::_exit(is_broken ? broken : held);
}
