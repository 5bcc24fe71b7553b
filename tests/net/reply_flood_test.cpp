/** @file reply_flood_test.cpp Many large replies at once, on real sockets: endless, stalled and sound ones.
 */
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include "net/upstream_network.h"
#include "runtime/loop_clock.h"
#include "runtime/random_source.h"
#include "support/loopback_listener.h"

namespace pollengrade {

namespace {

constexpr std::size_t memory_limit = 16'000'000; ///< bytes of all replies together
constexpr std::size_t large_bytes = 4'000'000;   ///< just below what one reply may hold

/** What a server sends on each of its connections: a head, and then zeros. */
struct flood_script {
    std::string head;      ///< up to and including the empty line
    std::size_t body = 0;  ///< bytes sent after the head; nothing follows them
    bool completes = true; ///< whether the reply is complete then
};

/** A connection of a flooding server. */
struct flood_connection {
    unique_fd fd;
    const flood_script* script = nullptr;
    std::size_t sent = 0;
    bool has_request = false;

    [[nodiscard]] bool is_unfinished() const {
        return fd.is_valid() && has_request && !(script->completes && sent == total());
    }
    [[nodiscard]] std::size_t sent_of_body() const { return sent - std::min(sent, script->head.size()); }
    [[nodiscard]] std::size_t total() const { return script->head.size() + script->body; }
};

/** Servers that send as fast as their clients read, in one thread. */
class flood_servers {
public:
    /** Adds a server. @pre start() has not been called @return its address */
    std::string add(flood_script script) {
        scripts_.push_back(std::make_unique<flood_script>(std::move(script)));
        listeners_.push_back(std::make_unique<loopback_listener>());
        return listeners_.back()->address();
    }
    void start() {
        thread_ = std::thread{[this] { run(); }};
    }
    void stop() {
        stopping_ = true;
        thread_.join();
    }
    /** @return the bytes sent of bodies whose reply is not complete and whose client is still connected. */
    [[nodiscard]] std::size_t unfinished_bodies() const { return unfinished_bodies_; }

private:
    void run() {
        while (!stopping_) {
            bool idle = true;
            for (std::size_t n = 0; n < listeners_.size(); ++n) {
                if (unique_fd fd = listeners_[n]->try_accept(); fd.is_valid())
                    connections_.push_back({std::move(fd), scripts_[n].get(), 0, false});
            }
            std::size_t unfinished = 0;
            for (flood_connection& it : connections_) {
                idle = !serve(it) && idle;
                unfinished += it.is_unfinished() ? it.sent_of_body() : 0;
            }
            unfinished_bodies_ = unfinished;
            std::erase_if(connections_, [](const flood_connection& it) { return !it.fd.is_valid(); });
            if (idle)
                ::usleep(1000);
        }
        connections_.clear();
    }

    /** @return whether bytes were read or sent. */
    static bool serve(flood_connection& it) {
        std::array<char, 1024> request{};
        const ssize_t read = ::recv(it.fd.get(), request.data(), request.size(), MSG_DONTWAIT);
        if (read == 0 || (read < 0 && !would_block())) {
            it.fd = unique_fd{};
            return true;
        }
        if (read > 0) {
            it.has_request = true;
            it.sent = 0;
        }
        if (!it.has_request || it.sent == it.total())
            return read > 0;
        static const std::string zeros(std::size_t{64} * 1024, '\0');
        const bool in_head = it.sent < it.script->head.size();
        const std::string_view bytes =
            in_head ? std::string_view{it.script->head}.substr(it.sent)
                    : std::string_view{zeros}.substr(0, std::min(zeros.size(), it.total() - it.sent));
        const ssize_t n = ::send(it.fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        it.sent += n > 0 ? static_cast<std::size_t>(n) : 0;
        return n > 0;
    }

    std::vector<std::unique_ptr<flood_script>> scripts_;        ///< by server
    std::vector<std::unique_ptr<loopback_listener>> listeners_; ///< by server
    std::vector<flood_connection> connections_;                 ///< open connections
    std::atomic<std::size_t> unfinished_bodies_{0};             ///< see unfinished_bodies()
    std::atomic<bool> stopping_{false};                         ///< ends the thread
    std::thread thread_;                                        ///< serves all connections
};

/** A node's connections to the servers of a test; each server is a replica set of its own. */
class flood_fixture {
public:
    flood_fixture() {
        network = std::make_unique<upstream_network>(poller, clock.timers(), servers, replies, codec(), "");
    }
    flood_fixture(const flood_fixture&) = delete;
    flood_fixture& operator=(const flood_fixture&) = delete;
    flood_fixture(flood_fixture&&) = delete;
    flood_fixture& operator=(flood_fixture&&) = delete;
    ~flood_fixture() { servers_thread.stop(); }

    void add(const std::string& name, flood_script script, std::uint32_t connections) {
        const std::string address = servers_thread.add(std::move(script));
        servers.put_server({upstream_id{name}, upstream_address{address}, failure_domain{"here"}, name},
                           {connections, connections});
        servers.set_members(replica_set_name{name}, {upstream_id{name}}, {1000, 0});
    }

    void submit(const std::string& name, duration time_left) {
        attempt_request request;
        request.set = replica_set_name{name};
        request.work = work_class{"lookup"};
        request.request = request_id{"r"};
        request.deadline = clock.timers().now() + time_left;
        request.target = request.deadline;
        request.content = std::make_shared<const forwarded_request>();
        servers.submit(std::move(request), [this](const attempt_end& end) {
            if (end.result)
                ++replied;
            else
                errors.push_back(end.result.error().code);
        });
    }

    void run_for(
        duration span, const std::function<bool()>& is_done = [] { return false; }) {
        bool is_over = false;
        const timer_id timer = clock.timers().schedule_after(span, [&is_over] { is_over = true; });
        while (!is_over && !is_done()) {
            g_main_context_iteration(nullptr, FALSE);
            most_counted = std::max(most_counted, replies.counted());
            ::usleep(100);
        }
        clock.timers().cancel(timer);
    }

    static upstream_codec codec() {
        upstream_codec it;
        it.encode = [](const upstream_identity&, const attempt_request&, duration) {
            outgoing_request request;
            request.header = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
            return request;
        };
        it.decode = [](const attempt_request&, reply_message reply) -> attempt_result {
            forwarded_reply forwarded;
            forwarded.message = std::move(reply);
            return forwarded;
        };
        it.read_rate = [](const reply_message&) { return rate_statement{}; };
        it.read_pause = [](const reply_message&) { return pause_statement{}; };
        it.states_leaving = [](const reply_message&) { return false; };
        return it;
    }

    flood_servers servers_thread;
    loop_clock clock;
    socket_poller poller{clock};
    event_log log{[] { return wall_time{}; }};
    metrics counts;
    std::unique_ptr<upstream_network> network;
    reply_memory replies{memory_limit, clock.timers(), log, counts,
                         upstream_network::replies_hooks_of(network)};
    dispatcher servers{clock.timers(),
                       log,
                       counts,
                       seeded_random(1),
                       failure_domain{"here"},
                       upstream_network::hooks_of(network)};
    std::size_t replied = 0;
    std::size_t most_counted = 0;
    std::vector<attempt_error> errors;
};

std::string head_with_length(std::size_t bytes) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

TEST_CASE("replies without an end took all memory of the node") {
    const flood_script endless{"HTTP/1.1 200 OK\r\n\r\n", large_bytes, false};
    flood_fixture it;
    for (int n = 0; n < 20; ++n)
        it.add("endless" + std::to_string(n), endless, 2);
    it.add("sound", {head_with_length(1000), 1000, true}, 4);
    it.servers_thread.start();
    for (int n = 0; n < 40; ++n)
        it.submit("endless" + std::to_string(n % 20), std::chrono::seconds{20});
    it.run_for(std::chrono::milliseconds{1500});
    CHECK(it.servers_thread.unfinished_bodies() <= memory_limit);
    CHECK(it.most_counted <= memory_limit);
    for (int n = 0; n < 10; ++n)
        it.submit("sound", std::chrono::seconds{5});
    it.run_for(std::chrono::seconds{5}, [&it] { return it.replied == 10; });
    CHECK(it.replied == 10);
    CHECK(std::count(it.errors.begin(), it.errors.end(), attempt_error::oversized) ==
          static_cast<std::ptrdiff_t>(it.errors.size()));
    CHECK(it.counts.value("connections_ended", "over_memory") == it.errors.size());
}

TEST_CASE("large sound replies that together exceed the memory are all read, one after the other") {
    flood_fixture it;
    for (int n = 0; n < 20; ++n)
        it.add("sound" + std::to_string(n), {head_with_length(large_bytes), large_bytes, true}, 2);
    it.servers_thread.start();
    for (int n = 0; n < 40; ++n)
        it.submit("sound" + std::to_string(n % 20), std::chrono::seconds{20});
    it.run_for(std::chrono::seconds{20}, [&it] { return it.replied + it.errors.size() == 40; });
    CHECK(it.replied == 40);
    CHECK(it.most_counted <= memory_limit);
}

TEST_CASE("large replies that stall do not keep sound ones from being read") {
    flood_fixture it;
    for (int n = 0; n < 10; ++n) {
        it.add("stalled" + std::to_string(n), {head_with_length(large_bytes), large_bytes - 1, false}, 1);
        it.add("sound" + std::to_string(n), {head_with_length(large_bytes), large_bytes, true}, 1);
    }
    it.servers_thread.start();
    for (int n = 0; n < 10; ++n)
        it.submit("stalled" + std::to_string(n), std::chrono::seconds{20});
    it.run_for(std::chrono::milliseconds{100});
    for (int n = 0; n < 10; ++n)
        it.submit("sound" + std::to_string(n), std::chrono::seconds{5});
    it.run_for(std::chrono::seconds{5}, [&it] { return it.replied == 10; });
    CHECK(it.replied == 10);
    CHECK(it.most_counted <= memory_limit);
}

} // namespace pollengrade
