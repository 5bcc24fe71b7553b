/** @file departures_test.cpp For how long nodes remember servers that stated in a reply that they leave. */
#include <doctest/doctest.h>

#include <string>

#include "core/upstreams/departures.h"
#include "support/fake_network.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

upstream_id server_of(std::size_t n) {
    return upstream_id{"i-" + std::to_string(n) + "@1"};
}

/** A node with two servers; "a" states in a reply that it leaves. */
struct fixture {
    fixture() {
        network.servers().set_members(replica_set_name{"s"}, {network.add("a")}, {4, 0});
        network.connect_all();
        send();
        network.answer_leaving(network.requests().front().connection, good_reply("proof"));
    }

    void send() {
        attempt_request request;
        request.set = replica_set_name{"s"};
        request.deadline = timers.now() + seconds{1};
        request.content = std::make_shared<const forwarded_request>();
        network.servers().submit(request, [](const attempt_end&) {});
    }

    /** The entry is removed, and comes back with a store or a peer that does not know yet. */
    void remove_and_return() {
        network.servers().remove_server(upstream_id{"a"});
        network.servers().put_server({upstream_id{"a"}, upstream_address{"127.9.0.1:9000"}, {}, "a"}, {2, 2});
        network.servers().set_members(replica_set_name{"s"}, {upstream_id{"a"}}, {4, 0});
        network.connect_all();
    }

    [[nodiscard]] bool is_usable() {
        return network.servers().availability_of(replica_set_name{"s"}, {}, placement_purpose::first) !=
               availability::none;
    }

    timer_queue timers = paused_clock();
    fake_network network{timers};
};

} // namespace

TEST_CASE("a server that takes long to leave is not used again when its entry is removed and returns") {
    fixture it;
    REQUIRE_FALSE(it.is_usable());
    it.timers.advance_to(it.timers.now() + minutes{11});
    // Another server's statement makes the node forget old ones.
    it.network.servers().note_departed(std::vector<departed_server>{{server_of(0), {}}});
    it.remove_and_return();
    CHECK_FALSE(it.is_usable());
    it.timers.advance_to(it.timers.now() + minutes{11});
    it.remove_and_return();
    CHECK_FALSE(it.is_usable());
}

TEST_CASE("a departure is remembered when the node remembers as many as it can") {
    departures it{[](const upstream_id&) { return false; }};
    const time_point start{seconds{1000}};
    constexpr std::size_t many = 20'000;
    for (std::size_t n = 0; n < many; ++n)
        it.note(server_of(n), start + duration{n}, start);
    CHECK(it.contains(server_of(many - 1)));
    CHECK_FALSE(it.contains(server_of(0)));
    CHECK(it.after(0, start + seconds{1}).servers.size() == max_departures_told);
    CHECK(it.since(start + duration{many - 1}, start + seconds{1}).size() == 1);
}

TEST_CASE("of two departures at the bound, the one stated again later is kept") {
    departures it{[](const upstream_id&) { return false; }};
    const time_point start{seconds{1000}};
    it.note(server_of(0), start, start);
    constexpr std::size_t many = 20'000;
    for (std::size_t n = 1; n < many; ++n) {
        it.note(server_of(n), start + seconds{1}, start);
        it.note(server_of(0), start + seconds{1}, start + seconds{1});
    }
    CHECK(it.contains(server_of(0)));
}

} // namespace pollengrade
