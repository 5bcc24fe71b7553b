/** @file case.cc A server ends and starts again under its id, then leaves. The store comes back from a copy that has the
 * earlier start: the server gets requests again from machines that had passed on that it leaves. */
#include "../../stand/stand.hh"

using namespace stand;

namespace {

constexpr int node_count = 3;
constexpr int clients_per_node = 4;
constexpr int pause_ms = 20;         ///< of a client between its requests
constexpr int drain_ms = 3000;       ///< bound of the pages
constexpr int heartbeat_ms = 1200;   ///< heartbeat-interval-ms
constexpr int restarted_after_ms = 500;
constexpr int leaves_after_ms = 1500;
constexpr int stays_ms = 6000;       ///< from its first answer with Server-Leaving to the loss of the store
constexpr int away_ms = 500;         ///< the store; its copy is 8 s old (9 s at most)
constexpr int queue_ms = 20;         ///< of the work
const std::string leaver = "i-leaver";

std::string config(int version) {
    return R"({"config-version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-orders","hostname":"orders.example","path-prefix":"/orders/",)"
           R"("kind":"unsafe","timeout-ms":2000,"target-latency-ms":400,"priority":1,"service":"ledger","max-attempts":2}],)"
           R"("services":[{"name":"ledger","health-check-path":"/health","max-connections":52,"protocol":"h1","tls":false}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 4)
        return could_not_run;
    record log{argv[3]};
    store platform{"127.0.0.1:0"};
    platform.count_eras();
    fleet nodes{argv[1], argv[2], {platform.address()}, node_count};
    std::mutex mutex;
    std::map<std::string, int> machine_of;                    // of a request, by its id
    std::map<std::string, std::int64_t> sent_at;              // by id
    std::vector<std::int64_t> passed_on(node_count, INT64_MAX); // first answer with Server-Leaving, by machine
    std::atomic<bool> leaving = false;
    std::atomic<int> late = 0;
    const auto run = [&](const message& in, const std::string& id) {
        const std::string request = in.field("X-Request-Id");
        if (id != leaver)
            return server_answer{"200 OK", queue_ms};
        {
            const std::lock_guard lock{mutex};
            const int n = machine_of[request];
            if (passed_on[n] != INT64_MAX && sent_at[request] - passed_on[n] > drain_ms) {
                ++late;
                log.line("DRAIN: " + request + " reaches the server from machine " + std::to_string(n + 1) + "; sent " +
                         std::to_string(sent_at[request] - passed_on[n]) + " ms after the machine passed on that it leaves");
            }
        }
        return server_answer{leaving ? "200 OK\r\nServer-Leaving: 1" : "200 OK", queue_ms};
    };
    std::vector<std::unique_ptr<server>> servers;
    const auto add = [&](const std::string& ip, const std::string& id) {
        servers.push_back(std::make_unique<server>(log, platform, ip, "ledger", id, 6,
                                                   [&, id](const message& in) { return run(in, id); }));
        servers.back()->report("ready");
    };
    add("127.0.0.1", leaver);
    for (const char* it : {"i-one", "i-two", "i-three"})
        add("127.0.0.1", it);
    platform.put("config", "main", config(7));
    for (int n = 0; n < node_count; ++n)
        nodes.start(n);
    for (int n = 0; n < node_count; ++n)
        if (!nodes.await_ready(n, 15000))
            return could_not_run;
    sleep_ms(5000); // Longer than contact-ms: the machines are in touch.
    std::atomic<bool> stop = false;
    std::atomic<int> served = 0;
    std::vector<std::thread> clients;
    for (int n = 0; n < node_count; ++n)
        for (int k = 0; k < clients_per_node; ++k)
            clients.emplace_back([&, n] {
                client it{nodes.frontend(n)};
                while (!stop) {
                    const std::string id = new_id();
                    {
                        const std::lock_guard lock{mutex};
                        machine_of[id] = n;
                        sent_at[id] = log.now();
                    }
                    log.line("client sends " + id + " to machine " + std::to_string(n + 1));
                    const outcome out = it.send("POST", "/orders/1", "orders.example", id, 2000, "an order");
                    log.line("client gets " + out.text() + " for " + id);
                    served += out.how == outcome::answered && out.reply.status() == 200;
                    if (out.how == outcome::answered && out.reply.has("Server-Leaving")) {
                        const std::lock_guard lock{mutex};
                        passed_on[n] = std::min(passed_on[n], log.now());
                    }
                    sleep_ms(pause_ms);
                }
            });
    sleep_ms(3000);
    if (trouble())
        platform.copy();
    sleep_ms(restarted_after_ms);
    const std::string address = servers.front()->address();
    servers.front()->exit();
    add(address, leaver); // Its second start, under its id and address.
    server& second = *servers.back();
    log.say("the server is started again");
    if (!trouble())
        platform.copy();
    sleep_ms(leaves_after_ms);
    leaving = true;
    log.say("the server leaves: it says so in its answers, and then its entry is removed");
    sleep_ms(heartbeat_ms / 4);
    platform.remove("servers", leaver);
    sleep_ms(stays_ms);
    platform.go_away();
    log.say("the store is away");
    sleep_ms(away_ms);
    platform.come_back();
    platform.put("config", "main", config(7));
    log.say("the store is back from a copy");
    std::this_thread::sleep_for(milliseconds{heartbeat_ms / 2});
    for (std::size_t n = 1; n < servers.size(); ++n) {
        if (servers[n].get() != &second)
            servers[n]->report("ready");
        sleep_ms(heartbeat_ms / 8);
    }
    platform.remove("servers", leaver);
    sleep_ms(2000);
    stop = true;
    for (std::thread& it : clients)
        it.join();
    nodes.end_all();
    int told = 0;
    for (const std::int64_t it : passed_on)
        told += it != INT64_MAX;
    log.say("machines that had passed on that it leaves: " + std::to_string(told) + "; requests served " +
            std::to_string(served) + "; requests that came later than drain-ms: " + std::to_string(late));
    if (told == 0)
        ::_exit(could_not_run);
    log.say(late > 0 ? "DRAIN is broken" : "DRAIN held");
    std::fflush(nullptr);
    ::_exit(late > 0 ? broken : held);
}
