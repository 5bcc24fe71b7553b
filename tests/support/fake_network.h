/** @file fake_network.h Fake connections to servers, which tests open, answer and break explicitly. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/upstreams/dispatcher.h"
#include "runtime/random_source.h"

namespace pollengrade {

/** A request that waits for its answer. */
struct pending_request {
    connection_id connection; ///< the connection that carries it
    upstream_id to;           ///< the server
    attempt_request attempt;  ///< the request
};

/** A dispatcher over fake connections that are controlled by a test. */
class fake_network {
public:
    explicit fake_network(timer_queue& timers, std::uint64_t seed = 1, const std::string& domain = "here")
        : servers_{
              timers,
              log_,
              counts_,
              seeded_random(seed),
              failure_domain{domain},
              {[this](connection_id id, const upstream_address& address) {
                   opening_[id] = address;
                   return true;
               },
               [this](connection_id id, const upstream_identity& server, const attempt_request& request) {
                   requests_[id] = {id, server.id, request};
               },
               [this](connection_id id) {
                   opening_.erase(id);
                   open_.erase(id);
                   requests_.erase(id);
                   closed_.push_back(id);
               }}} {}

    /** Adds a server of a replica set; its address is 127.9.0.N:9000. */
    upstream_id add(const std::string& name, std::uint32_t connections = 2,
                    const std::string& domain = "here") {
        upstream_id id{name};
        const upstream_address address{"127.9.0." + std::to_string(++added_) + ":9000"};
        servers_.put_server({id, address, failure_domain{domain}, name}, {connections, 2});
        return id;
    }

    /** Establishes all connections being opened, including those that are opened meanwhile. */
    void connect_all() {
        while (!opening_.empty()) {
            const auto first = opening_.begin();
            const connection_id id = first->first;
            open_[id] = opening_.begin()->second;
            opening_.erase(opening_.begin());
            servers_.on_connected(id);
        }
    }

    /** Fails all connections being opened. */
    void refuse_all() {
        const auto opening = opening_;
        for (const auto& [id, address] : opening) {
            opening_.erase(id);
            servers_.on_connection_ended(id, connection_end::reset, send_state::not_connected);
        }
    }

    /** Breaks a connection. */
    void end(connection_id id, connection_end why, send_state state) {
        open_.erase(id);
        requests_.erase(id);
        servers_.on_connection_ended(id, why, state);
    }

    /** Answers a request. */
    void answer(connection_id id, attempt_result result, bool kept = true, const rate_statement& rate = {}) {
        requests_.erase(id);
        if (!kept)
            open_.erase(id);
        servers_.on_answered(id, std::move(result), {kept, {}, rate});
    }

    /** Refuses a request with a reply that asks for a pause. */
    void answer_paused(connection_id id, duration pause) {
        requests_.erase(id);
        servers_.on_answered(id, tl::unexpected{attempt_failure{attempt_error::shed, pause}},
                             {true, {}, {}, false, {pause, true}});
    }
    /** Answers a request with a reply that states that its server is leaving. */
    void answer_leaving(connection_id id, attempt_result result) {
        requests_.erase(id);
        servers_.on_answered(id, std::move(result), {true, {}, {}, true});
    }

    /** @return requests that wait for their answer, ordered by connection. */
    [[nodiscard]] std::vector<pending_request> requests() const {
        std::vector<pending_request> list;
        for (const auto& [id, it] : requests_)
            list.push_back(it);
        return list;
    }
    /** @return connections being opened. */
    [[nodiscard]] std::size_t opening() const { return opening_.size(); }
    /** @return open connections. */
    [[nodiscard]] std::vector<connection_id> open() const {
        std::vector<connection_id> list;
        for (const auto& [id, address] : open_)
            list.push_back(id);
        return list;
    }
    /** @return connections that the dispatcher has closed. */
    [[nodiscard]] const std::vector<connection_id>& closed() const { return closed_; }

    [[nodiscard]] dispatcher& servers() noexcept { return servers_; }
    [[nodiscard]] event_log& log() noexcept { return log_; }
    [[nodiscard]] metrics& counts() noexcept { return counts_; }

private:
    event_log log_{[] { return wall_time{}; }};         ///< the event log
    metrics counts_;                                    ///< the counters
    std::map<connection_id, upstream_address> opening_; ///< connections being opened
    std::map<connection_id, upstream_address> open_;    ///< open connections
    std::map<connection_id, pending_request> requests_; ///< requests that wait for their answer
    std::vector<connection_id> closed_;                 ///< connections closed by the dispatcher
    int added_ = 0;                                     ///< number of servers added
    dispatcher servers_;                                ///< the dispatcher under test
};

/** @return a successful reply of a server, with its signature. */
[[nodiscard]] inline attempt_result good_reply(const std::string& signature, const std::string& body = "") {
    forwarded_reply it;
    it.message.status = 200;
    it.message.body = body;
    it.signature = signature;
    return it;
}

/** @return a failed attempt. */
[[nodiscard]] inline attempt_result failure(attempt_error code) {
    return tl::unexpected{attempt_failure{code, {}}};
}

} // namespace pollengrade
