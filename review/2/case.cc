/** @file case.cc Two of a zone's three machines are stopped, as planned. The platform goes on sending them
 * new connections, as fewer than half of the zone's machines are in rotation. */
#include "../stand/stand.hh"

using namespace stand;

namespace {

constexpr int node_count = 3;
constexpr int gap_ms = 1000; ///< between the two stops
constexpr int server_count = 7;
constexpr int slots = 6;
constexpr int client_count = 40;
constexpr int pause_ms = 100;
constexpr int deadline_ms = 5000;
constexpr int excused_ms =
    3000; ///< after SIGTERM: requests sent until then may be at work in the last sixth of grace-s
constexpr int grace_ms = 6000;

/** The platform's entry: readiness checks each second, two misses take a node out of rotation. */
class entry {
public:
    explicit entry(const fleet& nodes) : nodes_{nodes} {
        std::thread{[this] {
            for (;;) {
                for (int n = 0; n < node_count; ++n) {
                    const bool ready = nodes_.is_ready(n);
                    const std::lock_guard lock{mutex_};
                    misses_[n] = ready ? 0 : misses_[n] + 1;
                }
                sleep_ms(1000);
            }
        }}.detach();
    }
    /** @return the node for a client's new connection. */
    int node_for(int client) {
        const std::lock_guard lock{mutex_};
        std::vector<int> used;
        for (int n = 0; n < node_count; ++n)
            if (misses_[n] < 2)
                used.push_back(n);
        if (used.size() * 2 < node_count)
            used = {0, 1, 2}; // Fewer than half are in rotation: all of the zone's nodes are used.
        return used[std::hash<int>{}(client) % used.size()];
    }

private:
    const fleet& nodes_;
    std::mutex mutex_;
    int misses_[node_count] = {};
};

} // namespace

int main(int argc, char** argv) {
    if (argc < 4)
        return could_not_run;
    record log{argv[3]};
    store platform{"127.0.0.1:0"};
    fleet nodes{argv[1], argv[2], {platform.address()}, node_count};
    std::mutex mutex;
    std::map<std::string, bool> has_run;
    std::mt19937 random{5};
    std::vector<std::unique_ptr<server>> servers;
    for (int n = 1; n <= server_count; ++n) {
        servers.push_back(std::make_unique<server>(
            log, platform, "127.0.0.1", "ledger", "i-" + std::to_string(n), slots, [&](const message& in) {
                const std::lock_guard lock{mutex};
                has_run[in.field("X-Request-Id")] = true;
                return server_answer{"200 OK", std::uniform_int_distribution{100, 700}(random)};
            }));
        servers.back()->report("ready");
    }
    platform.put(
        "config", "main",
        R"({"config-version":1,"routes":[{"name":"r-orders","hostname":"orders.example","path-prefix":"/orders/",)"
        R"("kind":"unsafe","timeout-ms":5000,"target-latency-ms":500,"priority":1,"service":"ledger","max-attempts":2}],)"
        R"("services":[{"name":"ledger","health-check-path":"/health","max-connections":100,"protocol":"h1","tls":false}],)"
        R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})");
    for (int n = 0; n < node_count; ++n)
        nodes.start(n);
    for (int n = 0; n < node_count; ++n)
        if (!nodes.await_ready(n, 15000))
            return could_not_run;
    log.line("nodes are ready");
    entry balancer{nodes};
    sleep_ms(5000);

    std::atomic<bool> stop = false;
    std::atomic<std::int64_t> stopped_at[node_count] = {};
    std::atomic<int> lost = 0;
    std::atomic<int> excused = 0;
    std::atomic<int> asked = 0;
    std::vector<std::thread> clients;
    for (int k = 0; k < client_count; ++k)
        clients.emplace_back([&, k] {
            for (int count = 0; !stop; ++count) {
                const int n = balancer.node_for(k * 31 + count); // Each attempt is a connection of its own.
                client it{nodes.frontend(n)};
                const std::string id = new_id();
                const std::int64_t sent = log.now();
                log.line("client sends " + id + " to node " + std::to_string(n + 1));
                const outcome out =
                    it.send("POST", "/orders/1", "orders.example", id, deadline_ms, "an order");
                log.line("client gets " + out.text() + " for " + id);
                ++asked;
                const std::int64_t from = stopped_at[n];
                const std::lock_guard lock{mutex};
                if (out.how == outcome::closed && from != 0 && log.now() <= from + grace_ms + 1000 &&
                    has_run[id]) {
                    if (sent > from + excused_ms) {
                        ++lost;
                        log.line("LOST: " + id + ", sent " + std::to_string(sent - from) +
                                 " ms after SIGTERM of node " + std::to_string(n + 1) +
                                 ", was run, and its connection ended with no answer");
                    } else {
                        ++excused;
                    }
                }
                if (out.how == outcome::no_connection)
                    sleep_ms(50);
            }
        });
    sleep_ms(3000);
    const auto stop_node = [&](int n) {
        log.say("SIGTERM to node " + std::to_string(n + 1));
        stopped_at[n] = log.now();
        ::kill(nodes.pid(n), SIGTERM);
    };
    if (trouble()) {
        stop_node(0);
        sleep_ms(gap_ms);
        stop_node(1);
        const auto until = clock::now() + std::chrono::seconds{9};
        bool ended[2] = {};
        while (clock::now() < until && !(ended[0] && ended[1])) {
            for (int n = 0; n < 2; ++n) {
                int status = 0;
                if (!ended[n] && nodes.has_ended(n, status)) {
                    ended[n] = true;
                    log.say("node " + std::to_string(n + 1) + " ended " +
                            std::to_string(log.now() - stopped_at[n]) + " ms after SIGTERM");
                    sleep_ms(300);
                    nodes.start(n);
                }
            }
            sleep_ms(20);
        }
    }
    sleep_ms(4000);
    stop = true;
    for (std::thread& it : clients)
        it.join();
    nodes.end_all();
    log.say(
        "requests " + std::to_string(asked) + "; run, and ended without an answer: " + std::to_string(lost) +
        " (sent later than 3 s after SIGTERM), and " + std::to_string(excused) + " that the rule excuses");
    const bool is_broken = lost > 0;
    log.say(is_broken ? "LOST is broken" : "LOST held");
    std::fflush(nullptr);
    ::_exit(is_broken ? broken : held);
}
