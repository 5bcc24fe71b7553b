/** @file crowd_test.cpp Crowds of misbehaving clients against one node with low limits. Each test checks that
 * the node lives, that its memory and descriptors stay within its limits, and that it answers an ordinary
 * request while the crowd is still there. */
#include <doctest/doctest.h>

#include <csignal>
#include <initializer_list>
#include <string>
#include <thread>
#include <vector>

#include "crowd.h"
#include "crowd/fleet.h"
#include "crowd/http_call.h"
#include "routes_text.h"

namespace pollengrade {

namespace {

constexpr std::size_t bytes_per_megabyte = 1'000'000;
constexpr unsigned ok = 200;
constexpr std::size_t turns = 80;              ///< of a crowd, a twentieth of a second each
constexpr std::size_t max_body_bytes = 262144; ///< of a request, as the routes limit it

std::string get(route_kind kind, std::size_t n) {
    return "GET " + path_of(kind, 1) + "long HTTP/1.1\r\n" + caller_lines("crowd-" + std::to_string(n)) +
           "\r\n";
}

std::string post(std::size_t n) {
    return "POST " + path_of(route_kind::order, 1) + "long HTTP/1.1\r\n" +
           caller_lines("crowd-" + std::to_string(n)) + "Content-Length: " + std::to_string(max_body_bytes) +
           "\r\n\r\n" + std::string(max_body_bytes, 'b');
}

/** Plays turns of some crowds, and samples the fleet's memory after each. */
void play(fleet& all, std::initializer_list<crowd*> crowds, std::size_t count = turns) {
    for (std::size_t n = 0; n < count; ++n) {
        for (crowd* it : crowds)
            it->take_turns();
        all.sample();
        std::this_thread::sleep_for(crowd_turn);
    }
}

void check_limits(fleet& all, const fleet_options& options) {
    const memory_use used = all.memory();
    INFO("process ", used.process, " bytes, kernel ", used.kernel, " bytes");
    CHECK(all.node().is_running());
    CHECK(used.sum() <= options.memory_mb * bytes_per_megabyte);
    CHECK(all.descriptors() <= options.descriptors);
}

/** Plays a crowd of callers against a fleet and checks it. */
void check_crowd(const fleet_options& options, std::size_t size, crowd_behaviour behaviour,
                 const std::vector<std::string>& changes = {}) {
    fleet all{options};
    for (const std::string& it : changes)
        all.change_servers(it);
    crowd clients{all.callers(), size, std::move(behaviour)};
    play(all, {&clients});
    CHECK(all.ask() == ok);
    check_limits(all, options);
}

} // namespace

TEST_CASE("long answers that are read slowly do not take the node's memory") {
    fleet_options options;
    options.body_bytes = 4'000'000;
    check_crowd(options, 60, {[](std::size_t n) { return get(route_kind::lookup, n); }, 0, 512});
}

TEST_CASE("long answers that are not read do not take the node's memory") {
    fleet_options options;
    options.body_bytes = 4'000'000;
    check_crowd(options, 60, {[](std::size_t n) { return get(route_kind::lookup, n); }, 0, 0});
}

TEST_CASE("answers that fit the kernel's buffers and are not read do not take the machine's memory") {
    fleet_options options;
    options.body_bytes = 1'000'000;
    check_crowd(options, 200, {[](std::size_t n) { return get(route_kind::lookup, n); }, 0, 0});
}

TEST_CASE("requests sent at once on connections that read nothing do not take the node's memory") {
    fleet_options options;
    options.body_bytes = 500'000;
    const auto many = [](std::size_t n) {
        std::string bytes;
        for (std::size_t k = 0; k < 500; ++k)
            bytes += get(route_kind::lookup, 1000 * n + k);
        return bytes;
    };
    check_crowd(options, 200, {many, 0, 0});
}

TEST_CASE("many connections whose buffers are full do not take the machine's memory") {
    // Each asks for short answers until the kernel holds no more of them, and does not read.
    fleet_options options;
    options.memory_mb = 48;
    const auto some = [](std::size_t n) {
        std::string bytes;
        for (std::size_t k = 0; k < 400; ++k)
            bytes += get(route_kind::lookup, 1000 * n + k);
        return bytes;
    };
    check_crowd(options, 1200, {some, 0, 0});
}

TEST_CASE("bodies sent a byte at a time do not take the node's memory") {
    constexpr std::size_t last_bytes = 1000;
    check_crowd({}, 400, {[](std::size_t n) { return post(n); }, last_bytes, 65536});
}

TEST_CASE("long bodies of requests that wait for a server do not take the node's memory") {
    // Servers that take longer than any request waits; the ordinary request goes to another service.
    check_crowd({}, 400, {[](std::size_t n) { return post(n); }, 0, 65536},
                {"shard=" + std::to_string(order_service) + "&service_us=60000000"});
}

TEST_CASE("long parts of a gather that waits for its last shard do not take the node's memory") {
    fleet_options options;
    options.body_bytes = 1'000'000;
    check_crowd(options, 40, {[](std::size_t n) { return get(route_kind::gather, n); }, 0, 65536},
                {"shard=4&service_us=400000", "shard=5&service_us=400000"});
}

TEST_CASE("connections that send nothing do not keep an ordinary caller out") {
    fleet_options options;
    options.descriptors = 400;
    check_crowd(options, 500, {});
}

TEST_CASE("connections that are kept and not used do not keep an ordinary caller out") {
    fleet_options options;
    options.descriptors = 400;
    check_crowd(options, 500, {[](std::size_t n) { return get(route_kind::lookup, n); }, 0, 65536});
}

TEST_CASE("heads and bodies that never end do not keep an ordinary caller out") {
    fleet_options options;
    options.descriptors = 400;
    const auto begun = [](std::size_t n) { return n % 2 == 0 ? post(n) : get(route_kind::lookup, n); };
    check_crowd(options, 500, {begun, 100, 65536});
}

TEST_CASE("operators' pages that are not read do not take the node's memory") {
    fleet_options options;
    options.memory_mb = 32;
    fleet all{options};
    for (int n = 0; n < 1500; ++n) // Fills the event log, which is the longest page.
        CHECK(all.ask() == ok);
    const auto page = [](std::size_t) { return std::string{"GET /timeline HTTP/1.1\r\nHost: a\r\n\r\n"}; };
    crowd clients{all.operators(), 60, {page, 0, 0}};
    play(all, {&clients});
    CHECK(all.ask() == ok);
    check_limits(all, options);
}

TEST_CASE("connections to the own interface do not keep its callers out") {
    fleet_options options;
    options.has_routes = false;
    options.descriptors = 400;
    fleet all{options};
    crowd clients{all.callers(), 500, {}};
    play(all, {&clients});
    CHECK(call(all.callers(), "GET", "/healthz") == ok);
    check_limits(all, options);
}

TEST_CASE("a planned stop beside slow readers and slow senders ends in time") {
    fleet_options options;
    options.body_bytes = 1'000'000;
    fleet all{options};
    crowd readers{all.callers(), 20, {[](std::size_t n) { return get(route_kind::lookup, n); }, 0, 512}};
    crowd senders{all.callers(), 20, {[](std::size_t n) { return post(n); }, 1000, 65536}};
    crowd silent{all.callers(), 20, {}};
    constexpr std::size_t few_turns = 30;
    play(all, {&readers, &senders, &silent}, few_turns);
    ::kill(all.node().id(), SIGTERM);
    play(all, {&readers, &senders, &silent}, few_turns);
    CHECK(all.node().wait(options.grace_s) == 0);
}

TEST_CASE("the longest sound request and answer pass through in calm") {
    fleet_options options;
    options.body_bytes = 4 * 1024 * 1024;
    const fleet all{options};
    CHECK(all.ask() == ok);
    CHECK(call(all.callers(), "POST", path_of(route_kind::order, 1) + "long",
               std::string(max_body_bytes, 'b')) == ok);
}

} // namespace pollengrade
