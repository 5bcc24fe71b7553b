/** @file case.cc The entry of KNOWN-RED.txt with real processes, on our own interface: an order is confirmed,
 * the store comes back from a copy that lacks its claim, and a replay of the key is sent again. */
#include "../stand/stand.hh"

using namespace stand;

namespace {

constexpr int node_count = 2;
constexpr int away_ms = 1500;

/** A server of the one shard, in our own format. */
class shard_server {
public:
    explicit shard_server(record& log) : log_{log} {
        fd_ = listen_on(address_);
        std::thread{[this] {
            for (;;) {
                const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0)
                    std::thread{[this, fd] { serve(fd); }}.detach();
            }
        }}.detach();
    }
    const std::string& address() const { return address_; }
    int runs() const { return runs_; }

private:
    void serve(int fd) {
        std::string buf;
        message in;
        while (read_message(fd, buf, in, clock::now() + std::chrono::minutes{2}) == read_end::complete) {
            ++runs_;
            log_.line("server runs " + in.start + ", key " + in.field("Idempotency-Key"));
            const std::string body =
                "{\"request_id\":\"" + in.field("X-Request-Id") +
                "\",\"shard\":0,\"index_version\":1,\"in_flight\":1,\"draining\":false,\"incarnation\":"
                "\"one\",\"rows\":[{\"score\":1,\"key\":\"k\",\"text\":\"ordered\"}]}";
            if (!write_all(fd, reply_text("200 OK", "Content-Type: application/json\r\n", body)))
                break;
        }
        ::close(fd);
    }

    record& log_;
    std::string address_ = "127.0.0.1:0";
    int fd_ = -1;
    std::atomic<int> runs_ = 0;
};

std::string new_key() {
    char text[48];
    const auto now = static_cast<unsigned long long>(unix_ms());
    std::snprintf(text, sizeof text, "%08llx-%04llx-7abc-8def-0123456789ab", now >> 16, now & 0xffff);
    return text;
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 4)
        return could_not_run;
    record log{argv[3]};
    store platform{"127.0.0.1:0"};
    platform.count_eras();
    shard_server shard{log};
    fleet nodes{argv[1], argv[2], {platform.address()}, node_count};
    nodes.use_settings(
        "[node]\nname = {{node-name}}\ncallers = {{bind-addresses.frontend}}\noperators = {{ip}}:9464\n"
        "peers = {{ip}}:{{internal-ports.0}}\nfailure_domain = {{zone}}\n[platform]\naddress = "
        "{{platform.address}}\n[cluster]\nseeds = {{seed-nodes}}\npeer_port = {{internal-ports.0}}\n");
    platform.put("pollengrade-service", "ledger",
                 R"({"text":"[service]\nname = ledger\norders = allowed\n"})");
    platform.put("pollengrade-shardmap", "ledger",
                 R"({"text":"{\"versions\":[{\"version\":1,\"shards\":[{\"id\":0,\"replicas\":[\")" +
                     shard.address() + R"(\"]}]}]}"})");
    for (int n = 0; n < node_count; ++n)
        nodes.start(n);
    const std::string key = new_key();
    const auto order = [&](int n) {
        const int fd = connect_to(nodes.frontend(n), 1000);
        std::string buf;
        message reply;
        const bool ok =
            fd >= 0 &&
            write_all(fd,
                      "POST /v1/ledger/orders?number=7 HTTP/1.1\r\nHost: ledger\r\nX-Deadline-Ms: 3000\r\n"
                      "Idempotency-Key: " +
                          key + "\r\nContent-Length: 14\r\n\r\n{\"quantity\":3}") &&
            read_message(fd, buf, reply, clock::now() + milliseconds{5000}) == read_end::complete;
        ::close(fd);
        log.say("order with key " + key + " at node " + std::to_string(n + 1) + ": " +
                (ok ? reply.start + " " + reply.body.substr(0, 150) : "no answer"));
        return ok && reply.status() == 200;
    };
    sleep_ms(4000);
    platform.copy();
    sleep_ms(2000);
    if (!order(0))
        return could_not_run;
    sleep_ms(2000);
    log.say("claims in the store: " + std::to_string(platform.count("pollengrade-claim")));
    if (trouble()) {
        platform.go_away();
        sleep_ms(away_ms);
        platform.come_back();
        log.say("the store has come back from a copy 4 s old; claims in it: " +
                std::to_string(platform.count("pollengrade-claim")));
    }
    sleep_ms(4000);
    order(1);
    sleep_ms(500);
    nodes.end_all();
    log.say("the order has run " + std::to_string(shard.runs()) + " times");
    std::fflush(nullptr);
    ::_exit(shard.runs() > 1 ? broken : held);
}
