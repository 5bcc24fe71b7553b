/** @file two_nodes.h A node and its holder, without a network between them. */
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/forward_fixture.h"

namespace pollengrade {

/** A node that callers use, and a holder to which it delegates queries while one is named. */
struct two_nodes {
    explicit two_nodes(const route_table_ptr& routes = table_of(1, {gather_route(4, 0.75)}, 4)) {
        for (fake_network* it : {&network, &holder_network}) {
            for (int service = 0; service < 4; ++service) {
                std::vector<upstream_id> members;
                for (const char* replica : {"a", "b"})
                    members.push_back(it->add("s" + std::to_string(service) + replica));
                it->servers().set_members(replica_set_name{"s" + std::to_string(service)}, members, {4, 0});
            }
            it->connect_all();
        }
        node.apply(routes);
        holder.apply(routes);
    }

    void search() {
        auto request = std::make_shared<forwarded_request>();
        request->id = request_id{"r" + std::to_string(++submitted)};
        request->host = "a.example";
        request->path = "/search/1";
        last_run =
            node.submit(std::move(request), [this](forward_answer it) { answers.push_back(std::move(it)); });
    }

    /** Answers all requests at the servers; those of some servers state that they leave. */
    std::size_t answer_all(fake_network& at, const std::vector<std::string>& leaving) {
        std::size_t to_leaving = 0;
        for (const pending_request& it : at.requests()) {
            const bool leaves = std::find(leaving.begin(), leaving.end(), it.to.value()) != leaving.end();
            const std::string proof = it.to.value() + "-" + std::to_string(++proofs);
            to_leaving += leaves ? 1U : 0U;
            if (leaves)
                at.answer_leaving(it.connection, good_reply(proof));
            else
                at.answer(it.connection, good_reply(proof));
        }
        at.connect_all();
        return to_leaving;
    }

    /** Answers all requests at the servers, which state a limit. @return the number of requests */
    static std::size_t answer_limited(fake_network& at, double per_second, int& proofs) {
        std::size_t count = 0;
        for (const pending_request& it : at.requests()) {
            const std::string proof = it.to.value() + "-" + std::to_string(++proofs);
            at.answer(it.connection, good_reply(proof), true, {per_second, true});
            ++count;
        }
        return count;
    }

    void advance(std::int64_t ms) { timers.advance_to(timers.now() + std::chrono::milliseconds{ms}); }

    forwarder_hooks hooks_of_node() {
        forwarder_hooks it = local_hooks(timers);
        it.holders = [this](const route&) { return holders; };
        return it;
    }

    /** A holder that acknowledges and takes each query at once. */
    delegation_hooks calls() {
        return {[this](delegation_call, const node_address&, duration,
                       const std::function<delegated_request()>& acknowledged,
                       std::function<void(std::optional<delegated_answer>)> done) {
                    delegated_request request = acknowledged();
                    if (node_is_of_earlier_build)
                        request.routes_version = object_version{};
                    holder.submit_delegated(request, std::move(done));
                },
                [](delegation_call) {}, [](const node_address&) { return failure_domain{"here"}; }};
    }

    timer_queue timers = paused_clock();
    fake_network network{timers};
    fake_network holder_network{timers, 2};
    std::vector<node_address> holders{node_address{"h:1"}};
    forwarder holder{{timers, holder_network.servers(), holder_network.log(), holder_network.counts()},
                     seeded_random(2),
                     failure_domain{"here"},
                     local_hooks(timers),
                     {},
                     caller_round_trip};
    forwarder node{{timers, network.servers(), network.log(), network.counts()},
                   seeded_random(1),
                   failure_domain{"here"},
                   hooks_of_node(),
                   calls(),
                   caller_round_trip};
    bool node_is_of_earlier_build = false; ///< whether its queries don't tell the routes in force
    std::vector<forward_answer> answers;
    run_id last_run{};
    int submitted = 0;
    int proofs = 0;
};

} // namespace pollengrade
