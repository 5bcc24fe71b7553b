/** @file case.cc The configuration raises `max-body-bytes`. Requests on connections that were kept since before are held to
 * the old limit. */
#include "../../stand/stand.hh"

using namespace stand;

namespace {

constexpr int node_count = 2;
constexpr int kept_per_node = 20;
constexpr int wait_ms = 5000;        ///< from the acknowledgement; more than config-apply-ms (3000)
constexpr std::size_t small = 65536; ///< the first limit on bodies
constexpr std::size_t large = 262144;
constexpr std::size_t body_bytes = 100000;

std::string config(int version, std::size_t max_body) {
    return R"({"config-version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"r-orders","hostname":"orders.example","path-prefix":"/orders/",)"
           R"("kind":"unsafe","timeout-ms":2000,"target-latency-ms":400,"priority":1,"service":"ledger","max-attempts":2}],)"
           R"("services":[{"name":"ledger","health-check-path":"/health","max-connections":100,"protocol":"h1","tls":false}],)"
           R"("limits":{"max-header-bytes":16384,"max-body-bytes":)" +
           std::to_string(max_body) + R"(,"header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 4)
        return could_not_run;
    record log{argv[3]};
    store platform{"127.0.0.1:0"};
    fleet nodes{argv[1], argv[2], {platform.address()}, node_count};
    std::vector<std::unique_ptr<server>> servers;
    for (const char* it : {"one", "two", "three"}) {
        servers.push_back(std::make_unique<server>(log, platform, "127.0.0.1", "ledger", it, 6,
                                                   [](const message&) { return server_answer{"200 OK", 20}; }));
        servers.back()->report("ready");
    }
    platform.put("config", "main", config(7, trouble() ? small : large));
    for (int n = 0; n < node_count; ++n)
        nodes.start(n);
    for (int n = 0; n < node_count; ++n)
        if (!nodes.await_ready(n, 15000))
            return could_not_run;
    sleep_ms(5000); // Longer than contact-ms: the machines are in touch.
    std::vector<std::unique_ptr<client>> kept;
    const auto ask = [&](client& it, std::size_t size, const char* which) {
        const std::string id = new_id();
        log.line("client sends " + id + ", a body of " + std::to_string(size) + " bytes, on a " + which + " connection");
        const outcome out = it.send("POST", "/orders/1", "orders.example", id, 2000, std::string(size, 'o'));
        log.line("client gets " + out.text() + " for " + id);
        return out.how == outcome::answered ? out.reply.status() : 0;
    };
    for (int n = 0; n < node_count; ++n)
        for (int k = 0; k < kept_per_node; ++k) {
            kept.push_back(std::make_unique<client>(nodes.frontend(n)));
            if (ask(*kept.back(), 100, "new") != 200)
                return could_not_run;
        }
    platform.put("config", "main", config(9, large));
    log.say("store acknowledged version 9: max-body-bytes is " + std::to_string(large));
    sleep_ms(wait_ms);
    int denied = 0;
    int on_new = 0;
    int served = 0;
    for (std::size_t k = 0; k < kept.size(); ++k) {
        const int status = ask(*kept[k], body_bytes, "kept");
        denied += status == 413;
        served += status == 200;
        client fresh{nodes.frontend(static_cast<int>(k) / kept_per_node)};
        on_new += ask(fresh, body_bytes, "new") == 200;
    }
    nodes.end_all();
    const int all = static_cast<int>(kept.size());
    log.say("on kept connections: 413 to " + std::to_string(denied) + " of " + std::to_string(all) + ", served " +
            std::to_string(served) + "; on new ones served " + std::to_string(on_new));
    const bool is_broken = denied * 500 > 5 * 500 + all * 3; // All requests: `all` first ones, and twice as many later.
    log.say(is_broken ? "DENIED is broken" : "DENIED held");
    std::fflush(nullptr);
    ::_exit(is_broken ? broken : held);
}
