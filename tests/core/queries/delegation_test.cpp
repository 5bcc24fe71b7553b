/** @file delegation_test.cpp Queries handed to holders: one runs it, silent ones are passed by, times are
 * told. */
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

/** A call as the network holds it. */
struct open_call {
    delegation_call id;
    node_address to;
    std::function<delegated_request()> acknowledged;
    std::function<void(std::optional<delegated_answer>)> done;
};

/** One node that hands queries to three holders over calls that do only what a test says. */
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
    std::vector<delegation_call> cancelled; ///< calls withdrawn
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

TEST_CASE("delegation: the holder of this failure domain is asked, its answer is the caller's") {
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

TEST_CASE("delegation: a query goes out once its holder has shown itself, with what is left by then") {
    fixture it;
    it.submit(run_id{1});
    it.advance(milliseconds{10});
    const delegated_request sent = it.call(0).acknowledged();
    // 10 ms have passed, and the ways there and back count too.
    CHECK(sent.elapsed >= milliseconds{10});
    CHECK(sent.left <= milliseconds{90});
    CHECK(sent.elapsed + sent.left == milliseconds{100});
}

TEST_CASE("delegation: the ways to a holder and back are measured and counted as time spent") {
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

TEST_CASE("delegation: a silent holder is passed by, and left alone by the next queries") {
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
    // Later it is asked again.
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

TEST_CASE("delegation: of two holders that may take a query only the first to show itself is sent it") {
    fixture it;
    it.submit(run_id{1});
    it.advance(milliseconds{30});
    REQUIRE(it.calls.size() == 2);
    it.call(0).acknowledged(); // The silent one after all.
    CHECK(it.is_cancelled(1));
    CHECK_FALSE(it.is_cancelled(0));
    it.answer(0);
    CHECK(it.answers.size() == 1);
}

TEST_CASE("delegation: a holder lost after it was sent a query may have run it: nobody else does") {
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

TEST_CASE("delegation: a holder that is silent after it was sent a query has timed out") {
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

TEST_CASE("delegation: a holder that refuses connections is passed by at once") {
    fixture it;
    it.submit(run_id{1});
    it.call(0).done(std::nullopt);
    REQUIRE(it.calls.size() == 2);
    it.call(1).acknowledged();
    it.answer(1);
    REQUIRE(it.answers.size() == 1);
    CHECK(it.answers[0].has_value());
}

TEST_CASE("delegation: a holder with older routes has not run the query: another is asked") {
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

TEST_CASE("delegation: what no holder takes comes back to be run here, unsent") {
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
    // While all are left alone nothing is waited for.
    it.submit(run_id{2});
    CHECK(it.calls.size() == 3);
    CHECK(it.answers.size() == 2);
}

TEST_CASE("delegation: a caller that is gone takes its call along") {
    fixture it;
    it.submit(run_id{1});
    it.queries.abandon(run_id{1});
    CHECK(it.is_cancelled(0));
    it.advance(std::chrono::seconds{1});
    CHECK(it.calls.size() == 1);
    CHECK(it.answers.empty());
    it.queries.abandon(run_id{1}); // Twice does nothing.
}

TEST_CASE("delegation: whatever holders do, one at most is sent a query and each query is answered once") {
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        fixture it{seed};
        constexpr std::uint64_t queries = 5;
        std::map<std::size_t, bool> over; // Calls by index: sent and ended.
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
            if (over[index] || it.is_cancelled(index))
                continue;
            switch (it.random() % 4) {
            case 0:
                if (!std::exchange(sent[index], true))
                    executing[index] =
                        std::stoul(it.call(index).acknowledged().request->id.value().substr(1));
                break;
            case 1:
                over[index] = true;
                it.call(index).done(std::nullopt);
                break;
            case 2:
                if (sent[index]) {
                    over[index] = true;
                    executing.erase(index); // Not run there.
                    it.call(index).done(delegated_answer{refused_answer{}, object_version{1}, {}, true});
                }
                break;
            default:
                if (sent[index]) {
                    over[index] = true;
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
