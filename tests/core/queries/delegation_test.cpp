/** @file delegation_test.cpp Delegated queries: one holder runs each, silent holders are skipped, elapsed
 * time is passed on. */
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/queries/delegation.h"
#include "runtime/random_source.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

/** An open call on the fake network. */
struct open_call {
    delegation_call id;
    node_address to;
    std::function<delegated_request()> acknowledged;
    std::function<void(std::optional<delegated_answer>)> done;
};

/** A node that delegates queries to three holders over calls that do only what a test says. */
struct fixture {
    explicit fixture(std::uint64_t seed = 1) : random{seeded_random(seed)} {}

    void submit(run_id id, duration left = milliseconds{100}) {
        delegated_request request;
        auto query = std::make_shared<forwarded_request>();
        query->id = request_id{"q" + std::to_string(id.value())};
        request.request = std::move(query);
        request.left = left;
        queries.submit(id, std::move(request), holders,
                       [this](std::optional<delegated_answer> it) { answers.push_back(std::move(it)); });
    }

    open_call& call(std::size_t index) { return calls.at(index); }
    void answer(std::size_t index, duration took = milliseconds{20}) {
        call(index).done(delegated_answer{gathered_answer{}, object_version{7}, took, false});
    }
    void advance(duration span) { timers.advance_to(timers.now() + span); }
    [[nodiscard]] bool is_cancelled(std::size_t index) const {
        return std::find(cancelled.begin(), cancelled.end(), calls.at(index).id) != cancelled.end();
    }

    timer_queue timers = paused_clock();
    event_log log{[] { return paused_wall_time; }};
    metrics counts;
    std::function<std::uint64_t()> random;
    std::vector<node_address> holders{node_address{"h1:1"}, node_address{"h2:1"}, node_address{"h3:1"}};
    std::vector<open_call> calls;           ///< every call opened
    std::vector<delegation_call> cancelled; ///< calls cancelled
    std::vector<std::optional<delegated_answer>> answers;
    delegation queries{
        timers,
        log,
        counts,
        random,
        failure_domain{"here"},
        {[this](delegation_call id, const node_address& to, duration,
                std::function<delegated_request()> acknowledged,
                std::function<void(std::optional<delegated_answer>)> done) {
             calls.push_back({id, to, std::move(acknowledged), std::move(done)});
         },
         [this](delegation_call id) { cancelled.push_back(id); },
         [](const node_address& at) { return failure_domain{at.value() == "h2:1" ? "here" : "there"}; }}};
};

} // namespace

TEST_CASE("delegation: the holder in the same failure domain is called and its answer is returned") {
    fixture it;
    it.submit(run_id{1});
    REQUIRE(it.calls.size() == 1);
    CHECK(it.call(0).to.value() == "h2:1");
    it.call(0).acknowledged();
    it.answer(0);
    REQUIRE(it.answers.size() == 1);
    REQUIRE(it.answers[0]);
    CHECK(it.answers[0]->version.value() == 7);
}

TEST_CASE("delegation: a query is sent after the holder's acknowledgement, with the time left by then") {
    fixture it;
    it.submit(run_id{1});
    it.advance(milliseconds{10});
    const delegated_request sent = it.call(0).acknowledged();
    // 10 ms have passed, and the expected network time both ways counts too.
    CHECK(sent.elapsed >= milliseconds{10});
    CHECK(sent.left <= milliseconds{90});
    CHECK(sent.elapsed + sent.left == milliseconds{100});
}

TEST_CASE("delegation: the network time to a holder and back is measured and counted as elapsed") {
    fixture it;
    for (std::uint64_t n = 1; n <= 200; ++n) {
        it.submit(run_id{n});
        it.call(n - 1).acknowledged();
        it.advance(milliseconds{32});
        it.answer(n - 1, milliseconds{20});
    }
    it.submit(run_id{500});
    const delegated_request sent = it.calls.back().acknowledged();
    CHECK(sent.elapsed >= milliseconds{11});
    CHECK(sent.elapsed <= milliseconds{14});
}

TEST_CASE("delegation: a silent holder is skipped, also by the next queries") {
    fixture it;
    it.submit(run_id{1});
    const node_address silent = it.call(0).to;
    it.advance(milliseconds{30});
    REQUIRE(it.calls.size() == 2);
    CHECK(it.call(1).to != silent);
    it.call(1).acknowledged();
    it.answer(1);
    CHECK(it.answers.size() == 1);
    CHECK(it.is_cancelled(0));
    for (std::uint64_t n = 2; n < 20; ++n) {
        it.submit(run_id{n});
        CHECK(it.calls.back().to != silent);
        it.calls.back().acknowledged();
        it.calls.back().done(delegated_answer{gathered_answer{}, object_version{7}, {}, false});
    }
    // Later the holder is called again.
    it.advance(std::chrono::seconds{5});
    bool asked = false;
    for (std::uint64_t n = 20; n < 60; ++n) {
        it.submit(run_id{n});
        asked = asked || it.calls.back().to == silent;
        it.calls.back().acknowledged();
        it.calls.back().done(delegated_answer{gathered_answer{}, object_version{7}, {}, false});
    }
    CHECK(asked);
}

TEST_CASE("delegation: of two holders called only the first to acknowledge is sent the query") {
    fixture it;
    it.submit(run_id{1});
    it.advance(milliseconds{30});
    REQUIRE(it.calls.size() == 2);
    it.call(0).acknowledged(); // The holder that was silent acknowledges late.
    CHECK(it.is_cancelled(1));
    CHECK_FALSE(it.is_cancelled(0));
    it.answer(0);
    CHECK(it.answers.size() == 1);
}

TEST_CASE("delegation: a query is not sent again after its holder is lost, because it may have run") {
    fixture it;
    it.submit(run_id{1});
    it.call(0).acknowledged();
    it.advance(milliseconds{10});
    it.call(0).done(std::nullopt);
    CHECK(it.calls.size() == 1);
    REQUIRE(it.answers.size() == 1);
    REQUIRE(it.answers[0]);
    const auto* failed = std::get_if<failed_answer>(&it.answers[0]->answer);
    REQUIRE(failed != nullptr);
    CHECK(failed->reason == forward_failure::connection_lost);
}

TEST_CASE("delegation: a holder that does not answer a query it was sent in time is reported as timed out") {
    fixture it;
    it.submit(run_id{1});
    it.call(0).acknowledged();
    it.advance(milliseconds{120});
    it.call(0).done(std::nullopt);
    REQUIRE(it.answers.size() == 1);
    const auto* failed = std::get_if<failed_answer>(&it.answers[0]->answer);
    REQUIRE(failed != nullptr);
    CHECK(failed->reason == forward_failure::timed_out);
}

TEST_CASE("delegation: a holder that refuses connections is skipped at once") {
    fixture it;
    it.submit(run_id{1});
    it.call(0).done(std::nullopt);
    REQUIRE(it.calls.size() == 2);
    it.call(1).acknowledged();
    it.answer(1);
    REQUIRE(it.answers.size() == 1);
    CHECK(it.answers[0].has_value());
}

TEST_CASE("delegation: a holder with older routes has not run the query, so another one is called") {
    fixture it;
    it.submit(run_id{1});
    it.call(0).acknowledged();
    it.call(0).done(delegated_answer{refused_answer{}, object_version{3}, {}, true});
    REQUIRE(it.calls.size() == 2);
    it.call(1).acknowledged();
    it.answer(1);
    REQUIRE(it.answers.size() == 1);
    CHECK(it.answers[0].has_value());
}

TEST_CASE("delegation: a query that no holder takes is returned unsent, to run on this node") {
    fixture it;
    it.submit(run_id{1});
    it.advance(milliseconds{30});
    it.advance(milliseconds{30});
    it.advance(milliseconds{30});
    CHECK(it.calls.size() == 3);
    REQUIRE(it.answers.size() == 1);
    CHECK_FALSE(it.answers[0].has_value());
    for (std::size_t n = 0; n < 3; ++n)
        CHECK(it.is_cancelled(n));
    // While all holders are in backoff the query is returned at once.
    it.submit(run_id{2});
    CHECK(it.calls.size() == 3);
    CHECK(it.answers.size() == 2);
}

TEST_CASE("delegation: abandoning a query cancels its call") {
    fixture it;
    it.submit(run_id{1});
    it.queries.abandon(run_id{1});
    CHECK(it.is_cancelled(0));
    it.advance(std::chrono::seconds{1});
    CHECK(it.calls.size() == 1);
    CHECK(it.answers.empty());
    it.queries.abandon(run_id{1}); // A second call has no effect.
}

TEST_CASE("delegation: at the last answer of a stopping node no query is left without an answer") {
    fixture it;
    it.submit(run_id{1}, std::chrono::seconds{5});
    it.call(0).acknowledged();
    it.queries.stop_by(it.timers.now() + milliseconds{20});
    it.advance(milliseconds{10});
    it.submit(run_id{2}, std::chrono::seconds{5});
    it.advance(milliseconds{10});
    REQUIRE(it.answers.size() == 2);
    const auto unsent =
        std::find_if(it.answers.begin(), it.answers.end(), [](const auto& one) { return !one; });
    REQUIRE(unsent != it.answers.end()); // This node refuses it.
    it.answers.erase(unsent);
    REQUIRE(it.answers.front());
    CHECK(std::holds_alternative<failed_answer>(it.answers.front()->answer));
}

TEST_CASE("delegation: under holder faults a query runs at one holder at most and is answered once") {
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        fixture it{seed};
        constexpr std::uint64_t queries = 5;
        std::map<std::size_t, bool> ended; // Ended calls, by index.
        std::map<std::uint64_t, std::size_t> executing;
        std::vector<std::uint64_t> query_of;
        for (std::uint64_t n = 1; n <= queries; ++n) {
            it.submit(run_id{n});
            query_of.resize(it.calls.size(), n);
        }
        std::map<std::size_t, bool> sent;
        for (int step = 0; step < 400 && it.answers.size() < queries; ++step) {
            it.advance(milliseconds{1 + it.random() % 10});
            const std::size_t index = it.random() % it.calls.size();
            if (ended[index] || it.is_cancelled(index))
                continue;
            switch (it.random() % 4) {
            case 0:
                if (!std::exchange(sent[index], true))
                    executing[index] =
                        std::stoul(it.call(index).acknowledged().request->id.value().substr(1));
                break;
            case 1:
                ended[index] = true;
                it.call(index).done(std::nullopt);
                break;
            case 2:
                if (sent[index]) {
                    ended[index] = true;
                    executing.erase(index); // The holder did not run it.
                    it.call(index).done(delegated_answer{refused_answer{}, object_version{1}, {}, true});
                }
                break;
            default:
                if (sent[index]) {
                    ended[index] = true;
                    it.answer(index);
                }
                break;
            }
        }
        std::map<std::uint64_t, std::size_t> runs;
        for (const auto& [index, query] : executing)
            ++runs[query];
        for (const auto& [query, count] : runs)
            CHECK(count == 1);
        CHECK(it.answers.size() == queries);
    }
}

} // namespace pollengrade
