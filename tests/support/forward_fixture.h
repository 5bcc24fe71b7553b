/** @file forward_fixture.h A forwarder with connected fake servers, and routes for it. */
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "core/queries/forwarder.h"
#include "core/upstreams/server_pool.h"
#include "support/fake_network.h"
#include "support/fake_node.h"

namespace pollengrade {

inline constexpr duration caller_round_trip = std::chrono::milliseconds{5};
inline constexpr retry_budget_limits ample_budget{1, 100, std::chrono::seconds{10}};

/** Hooks of a node that delegates nothing. */
inline forwarder_hooks local_hooks(const timer_queue& timers) {
    return {[](const route&) { return std::vector<node_address>{}; },
            [](const service_name&) { return ample_budget; }, [] {}, [&timers] { return timers.now(); }};
}

/** @return a route to service s0, "/lookup/" or "/order/". */
inline route one_route(bool is_idempotent) {
    route it;
    it.name = is_idempotent ? "lookup" : "order";
    it.host = "a.example";
    it.prefix = is_idempotent ? "/lookup/" : "/order/";
    it.is_idempotent = is_idempotent;
    it.timeout = std::chrono::milliseconds{2000};
    it.target = std::chrono::milliseconds{400};
    it.max_attempts = 2;
    it.destinations = {{service_name{"s0"}, 1}};
    return it;
}

/** @return a route to the services s0 and up, "/search/". */
inline route gather_route(std::size_t shards, double least_share) {
    route it;
    it.name = "search";
    it.host = "a.example";
    it.prefix = "/search/";
    it.is_idempotent = true;
    it.timeout = std::chrono::milliseconds{600};
    it.target = std::chrono::milliseconds{100};
    it.max_attempts = 2;
    it.max_records = 3;
    it.min_shard_ratio = least_share;
    for (std::size_t n = 0; n < shards; ++n)
        it.shards.emplace_back("s" + std::to_string(n));
    return it;
}

/** @return routes and the services s0 and up. */
inline route_table_ptr table_of(std::uint64_t version, std::vector<route> routes, std::size_t services) {
    route_table_parts parts;
    parts.version = object_version{version};
    parts.routes = std::move(routes);
    for (std::size_t n = 0; n < services; ++n)
        parts.services.push_back({service_name{"s" + std::to_string(n)}, 16});
    parts.limits = {1024, 1024, std::chrono::milliseconds{1000}, std::chrono::milliseconds{1000}};
    return route_table::make(std::move(parts)).value();
}

/** Four services with two connected servers each, and a forwarder that uses them. */
struct forward_fixture {
    explicit forward_fixture(double least_share = 0.75) {
        for (int service = 0; service < 4; ++service) {
            std::vector<upstream_id> members;
            for (const char* replica : {"a", "b"})
                members.push_back(network.add("s" + std::to_string(service) + replica));
            network.servers().set_members(replica_set_name{"s" + std::to_string(service)}, members, {4, 64});
        }
        network.connect_all();
        forwards.apply(table_of(1, {one_route(true), one_route(false), gather_route(4, least_share)}, 4));
    }

    void submit(const std::string& path) {
        auto request = std::make_shared<forwarded_request>();
        request->id = request_id{"r" + std::to_string(++submitted)};
        request->host = "a.example";
        request->path = path;
        forwards.submit(std::move(request), [this](forward_answer it) { answers.push_back(std::move(it)); });
    }

    void advance(std::int64_t ms) { timers.advance_to(timers.now() + std::chrono::milliseconds{ms}); }

    /** @return open requests at the servers of one service. */
    std::vector<pending_request> at(const std::string& service) {
        std::vector<pending_request> list = network.requests();
        std::erase_if(list, [&](const pending_request& it) { return it.attempt.set.value() != service; });
        return list;
    }

    /** Answers the first open request at a service. */
    void answer(const std::string& service, const std::string& body = "") {
        network.answer(at(service).front().connection, good_reply("proof-" + service, body));
    }

    template <typename T> const T* last() const {
        return answers.empty() ? nullptr : std::get_if<T>(&answers.back());
    }

    timer_queue timers = paused_clock();
    fake_network network{timers};
    forwarder forwards{{timers, network.servers(), network.log(), network.counts()},
                       seeded_random(1),
                       failure_domain{"here"},
                       local_hooks(timers),
                       {},
                       caller_round_trip};
    std::vector<forward_answer> answers;
    int submitted = 0;
};

} // namespace pollengrade
