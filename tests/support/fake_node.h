/** @file fake_node.h A node on a manually advanced clock, with fake servers whose replies tests provide. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/queries/query_router.h"
#include "support/fake_claim_store.h"

namespace pollengrade {

/** A request received by a server. */
struct sent_request {
    std::uint64_t number = 0; ///< unique number of the request
    connection_id connection; ///< the connection that carries it
    upstream_id to;           ///< the server
    attempt_request attempt;  ///< the request as the node knows it
    index_request request;    ///< the request as the server sees it
    bool aborted = false;     ///< whether the node has closed the connection
};

/** A node without network. */
class fake_node {
public:
    /** @param timers the clock, shared by all fakes of a test. @param seed seed of random numbers */
    fake_node(timer_queue& timers, claim_store_hooks claims, std::uint64_t seed);

    /** Applies a document and snapshots. The servers of a shard are 127.9.SHARD.1 and so on. */
    void configure(const std::string& document, const std::vector<std::uint64_t>& versions,
                   std::uint32_t shards, std::uint32_t replicas);
    /** Submits a search; its answer is added to answers(). */
    void search(duration deadline = duration{0});
    /** Submits an order; its answer is added to answers(). */
    void order(const std::string& key, std::uint64_t number, duration deadline);

    /** @return the number of superseded requests: still running, but their replies are no longer awaited. */
    [[nodiscard]] std::size_t superseded_requests() const;
    /** Answers a request with a correct reply. */
    void reply(const sent_request& it);
    /** Answers a request with a correct reply modified by @p change. */
    void reply(const sent_request& it, const std::function<void(shard_reply&)>& change);
    /** Fails a request. */
    void fail(const sent_request& it, attempt_error code);
    /**
     * @return requests at servers whose replies are still awaited: neither answered nor aborted, nor
     * superseded by the reply of a faster server.
     */
    [[nodiscard]] std::vector<sent_request> open_requests() const;
    /** @return open requests of one shard. */
    [[nodiscard]] std::vector<sent_request> open_requests(std::uint32_t shard) const;

    [[nodiscard]] std::vector<answer>& answers() noexcept { return answers_; }
    [[nodiscard]] query_router& router() noexcept { return router_; }
    [[nodiscard]] dispatcher& servers() noexcept { return servers_; }
    [[nodiscard]] metrics& counts() noexcept { return counts_; }
    /** Sets a hook that is called with each request when it reaches its server. */
    void set_send_hook(std::function<void(const sent_request&)> hook) { on_send_ = std::move(hook); }

private:
    timer_queue& timers_; ///< the clock
    std::uint64_t seed_;  ///< part of the request IDs of orders, so that they differ between nodes
    event_log log_;       ///< the event log
    metrics counts_;      ///< the counters
    std::map<connection_id, sent_request> sent_;            ///< requests at servers
    std::map<connection_id, upstream_address> connections_; ///< open connections
    std::function<void(const sent_request&)> on_send_;      ///< see set_send_hook()
    dispatcher servers_;                                    ///< the dispatcher under test
    query_router router_;                                   ///< the router under test
    std::vector<answer> answers_;                           ///< in the order of their arrival
    std::uint64_t next_request_ = 1;                        ///< for the next request's ID
    std::uint64_t next_number_ = 1;                         ///< number of the next request at a server
};

/** @return a clock at the start time of tests, which only the test advances. */
[[nodiscard]] inline timer_queue paused_clock() {
    return timer_queue{time_point{std::chrono::seconds{1000}}};
}

/** Wall time at the start of the paused clock, for idempotency keys. */
inline constexpr wall_time paused_wall_time{std::chrono::milliseconds{0x0190'0000'0000}};
/** An idempotency key created at that time. */
inline constexpr const char* fresh_key = "01900000-0000-7abc-8def-000000000001";

} // namespace pollengrade
