/** @file dispatcher_test.cpp Connections, unresponsive servers, queues, removals; random orders of events. */
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "runtime/random_source.h"
#include "support/fake_network.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

/** A dispatcher with one replica set; records how its attempts end. */
struct fixture {
    explicit fixture(std::uint64_t seed = 1) : network{timers, seed} {}

    void publish(const std::vector<upstream_id>& members) {
        network.servers().set_members(replica_set_name{"set"}, members, {4, 0});
    }

    attempt_id submit(placement_purpose purpose = placement_purpose::first, std::int64_t deadline_ms = 1000) {
        attempt_request request;
        request.set = replica_set_name{"set"};
        request.work = work_class{"work"};
        request.request = request_id{"r"};
        request.deadline = timers.now() + milliseconds{deadline_ms};
        request.target = request.deadline;
        request.purpose = purpose;
        request.content = std::make_shared<const forwarded_request>();
        return network.servers().submit(std::move(request),
                                        [this](const attempt_end& end) { ends.push_back(end); });
    }

    /** Establishes a usual reply time of 5 ms. */
    void learn_usual_latency() {
        for (int n = 0; n < 30; ++n) {
            submit();
            pass(5);
            network.answer(network.requests().front().connection, good_reply("proof"));
        }
    }

    void pass(std::int64_t ms) { timers.advance_to(timers.now() + milliseconds{ms}); }

    timer_queue timers = paused_clock();
    fake_network network;
    std::vector<attempt_end> ends;
};

} // namespace

TEST_CASE("one connection to each server is kept open and is reopened when it ends") {
    fixture it;
    const upstream_id server = it.network.add("a");
    it.publish({server});
    CHECK(it.network.opening() == 1);
    it.network.connect_all();
    const connection_id first = it.network.open().front();
    it.submit();
    it.network.connect_all();
    it.network.answer(first, good_reply("proof"), false);
    CHECK(it.network.open().size() == 1);
    it.network.end(it.network.open().front(), connection_end::closed, send_state::nothing_written);
    it.pass(200);
    CHECK(it.network.opening() == 1);
}

TEST_CASE("a server never has more connections than its limit, however many attempts wait") {
    fixture it;
    it.publish({it.network.add("a", 2)});
    for (int n = 0; n < 6; ++n)
        it.submit();
    it.network.connect_all();
    CHECK(it.network.requests().size() == 2);
    CHECK(it.network.servers().connections() == 2);
    it.network.answer(it.network.requests().front().connection, good_reply("proof"));
    CHECK(it.network.requests().size() == 2);
    CHECK(it.ends.size() == 1);
}

TEST_CASE("waiting attempts are sent in order of priority, then of deadline") {
    fixture it;
    it.publish({it.network.add("a", 1)});
    it.network.connect_all();
    const attempt_id running = it.submit();
    const attempt_id late = it.submit(placement_purpose::no_trial, 900);
    const attempt_id soon = it.submit(placement_purpose::no_trial, 500);
    CHECK(it.network.servers().was_sent(running));
    it.network.answer(it.network.requests().front().connection, good_reply("proof"));
    CHECK(it.network.servers().was_sent(soon));
    CHECK_FALSE(it.network.servers().was_sent(late));
}

TEST_CASE("attempts to connect back off when a server resets each new connection") {
    fixture it;
    it.publish({it.network.add("a")});
    for (int n = 0; n < 100; ++n) {
        it.network.connect_all();
        for (const connection_id id : it.network.open())
            it.network.end(id, connection_end::reset, send_state::nothing_written);
        it.pass(10);
    }
    // In one second: the backoff between attempts starts at 100 ms and grows.
    CHECK(it.network.counts().value("connections_opened") <= 5);
}

TEST_CASE("a server with an unresponsive connection is ready again once a new connection is established") {
    fixture it;
    const upstream_id server = it.network.add("a", 3);
    it.publish({server});
    it.network.connect_all();
    it.submit(placement_purpose::first, 5000);
    it.network.connect_all();
    it.pass(1250);
    CHECK(it.network.servers().find(server)->condition(it.timers.now()) == upstream_condition::unresponsive);
    CHECK(it.network.opening() == 1);
    it.network.connect_all();
    CHECK(it.network.servers().find(server)->condition(it.timers.now()) == upstream_condition::ready);
    it.submit();
    CHECK(it.network.requests().size() == 2);
}

TEST_CASE("a cancelled request may finish, and its connection is closed if it does not finish in time") {
    fixture it;
    const upstream_id server = it.network.add("a");
    it.publish({server});
    it.network.connect_all();
    const attempt_id first = it.submit(placement_purpose::first, 300);
    const connection_id used = it.network.requests().front().connection;
    it.network.servers().cancel(first, cancel_reason::superseded);
    CHECK(it.network.servers().live_attempts() == 0);
    CHECK(it.network.closed().empty());
    it.pass(501);
    CHECK(it.network.closed() == std::vector{used});
    const attempt_id second = it.submit(placement_purpose::first, 300);
    it.network.connect_all();
    const connection_id kept = it.network.requests().front().connection;
    it.network.servers().cancel(second, cancel_reason::superseded);
    it.network.answer(kept, good_reply("proof"));
    it.pass(1000);
    CHECK(it.network.closed().size() == 1);
    CHECK(it.ends.empty());
}

TEST_CASE("a removed server is sent no new requests, finishes its requests and is deleted") {
    fixture it;
    const upstream_id leaving = it.network.add("a");
    const upstream_id staying = it.network.add("b");
    it.publish({leaving, staying});
    it.network.connect_all();
    for (int n = 0; n < 2; ++n)
        it.submit();
    it.network.connect_all();
    it.network.servers().remove_server(leaving);
    for (int n = 0; n < 4; ++n)
        it.submit();
    it.network.connect_all();
    const auto requests = it.network.requests();
    for (const pending_request& request : requests)
        it.network.answer(request.connection, good_reply("proof"));
    CHECK(it.network.servers().find(leaving) == nullptr);
    CHECK(it.network.servers().find(staying) != nullptr);
}

TEST_CASE("a removed server is deleted when its last request becomes unresponsive") {
    fixture it;
    const upstream_id server = it.network.add("a", 1);
    it.publish({server});
    it.network.connect_all();
    it.learn_usual_latency();
    const attempt_id last = it.submit();
    it.network.servers().cancel(last, cancel_reason::superseded);
    it.network.servers().remove_server(server);
    it.pass(500);
    CHECK(it.network.servers().find(server) == nullptr);
    CHECK(it.network.opening() == 0);
}

TEST_CASE("in any order of events each attempt ends once, and no attempt, server or connection is left") {
    constexpr std::uint64_t runs = 400;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        CAPTURE(seed);
        fixture it{seed};
        const auto random = seeded_random(seed);
        std::vector<upstream_id> members{it.network.add("s0")};
        it.publish(members);
        it.network.connect_all();
        it.learn_usual_latency();
        it.ends.clear();
        std::vector<attempt_id> submitted;
        std::size_t cancelled = 0;
        int named = 0;
        dispatcher& servers = it.network.servers();
        const auto pick = [&](const auto& list) { return list[random() % list.size()]; };
        for (int step = 0; step < 200; ++step) {
            switch (random() % 12) {
            case 0:
                if (members.size() < 4) {
                    members.push_back(it.network.add("s" + std::to_string(++named)));
                    it.publish(members);
                }
                break;
            case 1:
                if (!members.empty()) {
                    const upstream_id gone = pick(members);
                    std::erase(members, gone);
                    servers.remove_server(gone);
                }
                break;
            case 2:
                if (!members.empty())
                    servers.note_leaving(pick(members), {}, {});
                break;
            case 3:
                it.network.connect_all();
                break;
            case 4:
                it.network.refuse_all();
                break;
            case 5:
            case 6: {
                const auto found =
                    servers.availability_of(replica_set_name{"set"}, {}, placement_purpose::first);
                if (found == availability::immediate || found == availability::waiting)
                    submitted.push_back(
                        it.submit(placement_purpose::first, static_cast<std::int64_t>(50 + random() % 2000)));
                break;
            }
            case 7: {
                const auto open = it.network.requests();
                if (!open.empty())
                    it.network.answer(pick(open).connection,
                                      random() % 3 == 0 ? failure(static_cast<attempt_error>(
                                                              random() % attempt_error_count))
                                                        : good_reply("proof"),
                                      random() % 4 != 0);
                break;
            }
            case 8: {
                const auto open = it.network.open();
                if (!open.empty())
                    it.network.end(pick(open), static_cast<connection_end>(random() % 5),
                                   static_cast<send_state>(1 + random() % 3));
                break;
            }
            case 9:
                if (!submitted.empty()) {
                    const std::size_t before = servers.live_attempts();
                    servers.cancel(pick(submitted), random() % 2 == 0 ? cancel_reason::superseded
                                                                      : cancel_reason::caller_gone);
                    cancelled += before - servers.live_attempts();
                }
                break;
            default:
                it.pass(static_cast<std::int64_t>(random() % 700));
                break;
            }
        }
        it.pass(10);
        REQUIRE(it.ends.size() + cancelled + servers.live_attempts() == submitted.size());
        for (const upstream_id& id : members)
            servers.remove_server(id);
        for (int n = 0; n < 50; ++n) {
            for (const pending_request& open : it.network.requests())
                it.network.answer(open.connection, good_reply("proof"));
            it.network.connect_all();
            it.pass(500);
        }
        CHECK(servers.live_attempts() == 0);
        CHECK(servers.upstreams().empty());
        CHECK(servers.connections() == 0);
    }
}

// DRAIN: a node out of touch with the store went on sending to servers that had told it that they leave.
TEST_CASE("a server that states in a reply that it leaves gets no more requests, whatever its entry says") {
    for (const bool succeeds : {true, false}) {
        fixture it;
        const upstream_id leaving = it.network.add("a");
        it.publish({leaving});
        it.network.connect_all();
        it.submit();
        it.submit();
        it.submit(); // Waits: both connections are in use.
        it.network.connect_all();
        REQUIRE(it.network.requests().size() == 2);
        const auto result = succeeds ? good_reply("proof") : failure(attempt_error::shed);
        it.network.answer_leaving(it.network.requests().front().connection, result);
        it.pass(0);
        CHECK(it.network.requests().size() == 1); // What was on its way; the waiting attempt has failed.
        CHECK(it.network.servers().availability_of(replica_set_name{"set"}, {}, placement_purpose::retry) ==
              availability::none);
        it.network.servers().note_live(leaving, "a");
        it.network.servers().put_server(
            {leaving, upstream_address{"127.9.0.1:9000"}, failure_domain{"here"}, "a"}, {2, 2});
        CHECK(it.network.servers().find(leaving)->is_leaving());
    }
}

TEST_CASE("a server that stated that it leaves stays so when its entry is removed and comes back") {
    fixture it;
    const upstream_id leaving = it.network.add("a");
    it.publish({leaving});
    it.network.connect_all();
    it.submit();
    it.network.refuse_all(); // The connection that is opened ahead.
    it.network.answer_leaving(it.network.requests().front().connection, good_reply("proof"));
    it.network.servers().remove_server(leaving);
    REQUIRE(it.network.servers().find(leaving) == nullptr);
    it.network.add("a");
    it.publish({leaving});
    REQUIRE(it.network.servers().find(leaving) != nullptr);
    CHECK(it.network.servers().find(leaving)->is_leaving());
    const upstream_id restarted = it.network.add("a@2"); // A new start is a server of its own.
    CHECK_FALSE(it.network.servers().find(restarted)->is_leaving());
}

TEST_CASE("what another server at the address states of itself does not count for the one that is gone") {
    fixture it;
    const upstream_id gone = it.network.add("a");
    it.publish({gone});
    it.network.connect_all();
    it.submit();
    it.network.answer_leaving(it.network.requests().front().connection, failure(attempt_error::wrong_server));
    CHECK(it.network.counts().counter("servers_stated_leaving") == 0);
}

} // namespace pollengrade
