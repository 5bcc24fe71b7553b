/** @file caller_memory_test.cpp Which callers are given up when their bytes exceed the limit. */
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "net/caller_memory.h"

namespace pollengrade {

namespace {

constexpr std::size_t limit = 100'000;

/** Connections that hold bytes, and the names of those given up. */
struct fixture {
    std::unique_ptr<memory_holding> connection(const std::string& name) {
        return std::make_unique<memory_holding>(memory, [this, name] { given_up.push_back(name); });
    }
    void pass(int milliseconds) { timers.advance_to(timers.now() + std::chrono::milliseconds{milliseconds}); }

    timer_queue timers{time_point{}};
    metrics counts;
    caller_memory memory{limit, timers, counts};
    std::vector<std::string> given_up;
};

} // namespace

TEST_CASE("the reply that was held longest for its size is given up, not the newest or the largest") {
    fixture it;
    const auto slow = it.connection("slow");
    const auto other = it.connection("other");
    const auto ordinary = it.connection("ordinary");
    CHECK(slow->set(holding_kind::reply, 40'000));
    it.pass(1000);
    CHECK(other->set(holding_kind::reply, 30'000));
    it.pass(100);
    CHECK(ordinary->set(holding_kind::reply, 50'000));
    CHECK(it.given_up == std::vector<std::string>{"slow"});
    CHECK(it.memory.counted() == 80'000);
    CHECK(it.counts.value("callers_given_up", "reply") == 1);
}

TEST_CASE("a reply that is hardly read is given up before one that is read fast, though it came later") {
    fixture it;
    const auto ordinary = it.connection("ordinary");
    const auto slow = it.connection("slow");
    const auto next = it.connection("next");
    CHECK(ordinary->set(holding_kind::reply, 40'000));
    it.pass(10);
    ordinary->set_progress(20'000, 40'000);
    CHECK(slow->set(holding_kind::reply, 40'000));
    it.pass(2);
    slow->set_progress(400, 40'000);
    CHECK(next->set(holding_kind::reply, 40'000));
    CHECK(it.given_up == std::vector<std::string>{"slow"});
}

TEST_CASE("a request that comes slowly is given up for one that has just begun") {
    fixture it;
    const auto slow = it.connection("slow");
    const auto ordinary = it.connection("ordinary");
    for (int n = 1; n <= 60; ++n) {
        CHECK(slow->set(holding_kind::request, 60'000));
        it.pass(100);
    }
    CHECK(ordinary->set(holding_kind::request, 60'000));
    CHECK(it.given_up == std::vector<std::string>{"slow"});
}

TEST_CASE("a request at a server is never given up, and no long one follows once those take half") {
    fixture it;
    const auto first = it.connection("first");
    const auto second = it.connection("second");
    const auto reader = it.connection("reader");
    CHECK(first->set(holding_kind::run, 45'000));
    it.pass(1000);
    CHECK_FALSE(second->set(holding_kind::run, 10'000));
    CHECK(it.memory.counted() == 45'000);
    CHECK_FALSE(reader->set(holding_kind::reply, 60'000));
    CHECK(it.given_up.empty());
    CHECK(it.memory.counted() == 45'000);
}

TEST_CASE("small holdings are not counted, and what was counted is released") {
    fixture it;
    const auto small = it.connection("small");
    CHECK(small->set(holding_kind::request, 1000));
    CHECK(it.memory.counted() == 0);
    CHECK(small->set(holding_kind::request, 10'000));
    CHECK(small->set(holding_kind::run, 10'000));
    CHECK(it.memory.counted() == 10'000);
    CHECK(small->set(holding_kind::run, 0));
    CHECK(it.memory.counted() == 0);
    {
        const auto ended = it.connection("ended");
        CHECK(ended->set(holding_kind::reply, 20'000));
    }
    CHECK(it.memory.counted() == 0);
}

} // namespace pollengrade
