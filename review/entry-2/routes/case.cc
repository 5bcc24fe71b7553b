/** @file case.cc Six machines with holders. A plain route to a shard is added. Then all servers of this shard are silent for 5 s. From
 * then on all machines but the holder refuse each request on that route, for good. */
#include "../../stand/stand.hh"

using namespace stand;

namespace {

constexpr int machines = 6;
constexpr int clients_per_node = 12;
constexpr int period_ms = 1300;      ///< of a client's requests, longer than the route's timeout
constexpr int silent_ms = 5000;      ///< the shard's servers
constexpr int config_apply_ms = 3000;
constexpr int settle_ms = 8000;      ///< after the silence, before requests are counted
constexpr int watched_ms = 15000;
constexpr int slots = 6;

/** Hands bytes on to a server; while it is silent it takes them and hands on nothing. */
class relay {
public:
    relay(std::string to, const std::atomic<bool>& silent) : to_{std::move(to)}, silent_{silent} {
        fd_ = listen_on(address_);
        std::thread{[this] {
            for (;;)
                if (const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC); fd >= 0)
                    std::thread{[this, fd] { pass(fd); }}.detach();
        }}.detach();
    }
    const std::string& address() const { return address_; }

private:
    void pass(int client) {
        const int behind = connect_to(to_, 1000);
        for (bool open = behind >= 0; open;) {
            pollfd both[2] = {{client, POLLIN, 0}, {behind, POLLIN, 0}};
            ::poll(both, 2, 50);
            if (silent_)
                continue;
            for (int k = 0; k < 2 && open; ++k) {
                if (both[k].revents == 0)
                    continue;
                char bytes[16384];
                const ssize_t n = ::recv(both[k].fd, bytes, sizeof bytes, 0);
                open = n > 0 && write_all(both[1 - k].fd, std::string{bytes, static_cast<std::size_t>(n)});
            }
        }
        ::close(client);
        if (behind >= 0)
            ::close(behind);
    }
    std::string address_ = "127.0.0.1:0";
    std::string to_;
    const std::atomic<bool>& silent_;
    int fd_ = -1;
};

std::string config(int version, bool has_plain) {
    std::string shards;
    std::string services;
    for (const char* it : {"shard-1", "shard-2", "shard-3", "shard-4"}) {
        shards += (shards.empty() ? "\"" : ",\"") + std::string{it} + "\"";
        services += (services.empty() ? "" : ",") + std::string{R"({"name":")"} + it +
                    R"(","health-check-path":"/health","max-connections":6,"protocol":"h1","tls":false})";
    }
    return R"({"config-version":)" + std::to_string(version) +
           R"(,"routes":[)" +
           (has_plain ? std::string{R"({"name":"r-plain","hostname":"plain.example","path-prefix":"/plain/","kind":"safe",)"
                                    R"("timeout-ms":1200,"target-latency-ms":120,"priority":1,"service":"shard-1","max-attempts":2},)"}
                      : std::string{}) +
           R"({"name":"r-search","hostname":"search.example","path-prefix":"/search/","kind":"safe","timeout-ms":1200,)"
           R"("target-latency-ms":120,"priority":1,"gather":[)" +
           shards + R"(],"max-attempts":2,"top-k":5,"min-shard-ratio":0.75}],"services":[)" + services +
           R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 4)
        return could_not_run;
    record log{argv[3]};
    store platform{"127.0.0.1:0"};
    const std::vector<std::string> zones{"lhr", "khi", "fsd"};
    std::atomic<bool> silent = false;
    std::vector<std::unique_ptr<server>> servers;
    std::vector<std::unique_ptr<relay>> relays;
    for (const char* service : {"shard-1", "shard-2", "shard-3", "shard-4"})
        for (std::size_t n = 0; n < zones.size(); ++n) {
            const std::string id = std::string{"i-"} + service + "-" + std::to_string(n + 1);
            servers.push_back(std::make_unique<server>(log, platform, "127.0.0.1", service, id, slots,
                                                       [](const message&) { return server_answer{"200 OK", 5}; }, zones[n]));
            if (std::string{service} != "shard-1") {
                servers.back()->report("ready");
                continue;
            }
            relays.push_back(std::make_unique<relay>(servers.back()->address(), silent));
            platform.put("servers", id,
                         R"({"service":"shard-1","address":")" + relays.back()->address() + R"(","zone":")" + zones[n] +
                             R"(","config-version":"v1","slots":)" + std::to_string(slots) +
                             R"(,"lifecycle-state":"ready","warmup-remaining-ms":0,"sequence":1,"born":)" +
                             std::to_string(unix_ms()) + "}");
        }
    platform.put("config", "main", config(7, false));
    fleet nodes{argv[1], argv[2], {platform.address()}, machines, zones};
    for (int n = 0; n < machines; ++n)
        nodes.start(n);
    for (int n = 0; n < machines; ++n)
        if (!nodes.await_ready(n, 15000))
            return could_not_run;
    std::atomic<bool> stop = false;
    std::atomic<bool> is_due = false;
    struct counts {
        std::atomic<int> plain = 0, plain_served = 0, search = 0, search_served = 0;
    };
    std::vector<counts> seen(machines);
    std::atomic<bool> has_route = false;
    std::vector<std::thread> clients;
    for (int n = 0; n < machines; ++n)
        for (int k = 0; k < clients_per_node; ++k)
            clients.emplace_back([&, n, k] {
                client it{nodes.frontend(n)};
                auto next = clock::now() + milliseconds{k * period_ms / clients_per_node};
                std::this_thread::sleep_until(next);
                for (int count = k; !stop; ++count) {
                    const bool is_plain = has_route && count % 2 == 0;
                    const bool counts_now = is_due;
                    const std::string id = new_id();
                    log.line("client sends " + id + (is_plain ? " (plain)" : " (search)") + " to machine " +
                             std::to_string(n + 1));
                    const outcome out = is_plain ? it.send("GET", "/plain/1", "plain.example", id, 1200)
                                                 : it.send("GET", "/search/1", "search.example", id, 1200);
                    log.line("client gets " + out.text() + " for " + id);
                    const bool ok = out.how == outcome::answered && out.reply.status() == 200;
                    if (counts_now) {
                        counts& own = seen[static_cast<std::size_t>(n)];
                        ++(is_plain ? own.plain : own.search);
                        (is_plain ? own.plain_served : own.search_served) += ok;
                    }
                    next += milliseconds{period_ms};
                    std::this_thread::sleep_until(next);
                }
            });
    sleep_ms(5000);
    platform.put("config", "main", config(9, true));
    log.say("store acknowledged version 9: a plain route to shard-1 is added");
    has_route = true;
    sleep_ms(config_apply_ms);
    if (trouble()) {
        silent = true;
        log.say("the servers of shard-1 are silent");
        sleep_ms(silent_ms);
        silent = false;
        log.say("the servers of shard-1 answer again");
    }
    sleep_ms(settle_ms);
    is_due = true;
    sleep_ms(watched_ms);
    stop = true;
    for (std::thread& it : clients)
        it.join();
    nodes.end_all();
    int plain = 0, plain_served = 0, search = 0, search_served = 0;
    for (int n = 0; n < machines; ++n) {
        const counts& it = seen[static_cast<std::size_t>(n)];
        log.say("machine " + std::to_string(n + 1) + ": served on the added route " + std::to_string(it.plain_served) +
                " of " + std::to_string(it.plain) + ", on the first one " + std::to_string(it.search_served) + " of " +
                std::to_string(it.search));
        plain += it.plain;
        plain_served += it.plain_served;
        search += it.search;
        search_served += it.search_served;
    }
    if (plain < 20 || search_served == 0)
        ::_exit(could_not_run);
    const bool is_broken = 4.0 * plain_served / plain < 1.0 * search_served / search;
    log.say(is_broken ? "CONFIG is broken" : "CONFIG held");
    std::fflush(nullptr);
    ::_exit(is_broken ? broken : held);
}
