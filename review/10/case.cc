// Another writer leaves an entry of kind "servers" that can't be read, deeply nested behind a comment.
#include "../stand-3/stand.hh"

using namespace stand;

namespace {

void serve(socket_fd it, const std::string& id) {
    std::string bytes;
    while (const auto request = read_message(it.fd, bytes, now_ms() + 60000)) {
        if (request->target() == "/health") {
            send_all(it.fd, reply_of(200, "X-Instance-Id: " + id + "\r\n", ""));
            continue;
        }
        const std::string name = request->field("x-request-id");
        record("request %s runs at server %s", name.c_str(), id.c_str());
        send_all(it.fd,
                 reply_of(200, "X-Request-Id: " + name + "\r\nX-Server-Signature: s." + name + "\r\n", "the body"));
    }
}

/** @return the spec of an entry whose writer wrote comments, which no JSON has. */
std::string foreign_spec(std::size_t depth) {
    return "{/* \" */\"notes\":" + std::string(depth, '[') + std::string(depth, ']') + "/* \" */}";
}

} // namespace

int main(int argc, char** argv) {
    const setting it = begin(argc, argv);
    constexpr std::size_t depth = 200000;
    store platform;
    std::vector<std::unique_ptr<listener>> servers;
    for (int n = 1; n <= 3; ++n) {
        const std::string id = "i-" + std::to_string(n);
        servers.push_back(std::make_unique<listener>([id](socket_fd fd) { serve(std::move(fd), id); }));
        platform.put("servers", id, entry_of("kafi81c", servers.back()->port()));
    }
    platform.put("config", "main",
                 config_text(7, {route_text("r-1", "/goka902/", "safe", 5000, 500, "\"service\":\"kafi81c\"")},
                             {service_text("kafi81c", 52)}));
    fleet system{it.temporary, platform};
    auto& nodes = system.nodes();
    sleep_ms(1000);
    if (it.has_trouble) {
        const std::string spec = foreign_spec(depth);
        platform.put("servers", "other-writer", spec);
        record("another writer creates servers/other-writer, %zu bytes", spec.size());
    }
    std::vector<int> ends(nodes.size(), 0);
    int answered = 0, unanswered = 0;
    for (int round = 0; round < 30; ++round) {
        for (std::size_t n = 0; n < nodes.size(); ++n) {
            node& one = *nodes[n];
            const request ask_for{"GET", "/goka902/2f", one.name() + "q" + std::to_string(round), 1000, ""};
            const auto reply = ask(one.callers(), ask_for);
            ++(reply && reply->status() == 200 ? answered : unanswered);
            record("request %s: the client gets %d", ask_for.id.c_str(), reply ? reply->status() : 0);
            if (!one.has_ended())
                continue;
            ++ends[n];
            record("%s ended by itself: %s; it is started again", one.name().c_str(), one.end_text().c_str());
            one.start();
        }
        sleep_ms(300);
    }
    const auto often = std::count_if(ends.begin(), ends.end(), [](int it) { return it >= 3; });
    record("%td of %zu machines' processes ended by themselves three times or more (%d, %d, %d); %d requests answered, %d not",
           often, nodes.size(), ends[0], ends[1], ends[2], answered, unanswered);
    if (!it.has_trouble && answered == 0)
        finish(2);
    // A tenth of the machines in use, two at least.
    finish(often >= 2 ? 1 : 0);
}
