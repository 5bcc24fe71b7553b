/** @file upstream.h Identity, connections, requests and health of one incarnation of a server. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/upstreams/concurrency_limit.h"
#include "core/upstreams/connection_type.h"
#include "core/upstreams/rate_limit.h"
#include "core/upstreams/upstream_health.h"

namespace pollengrade {

/** Identity of a server. */
struct upstream_identity {
    upstream_id id;           ///< identifies one incarnation of the server
    upstream_address address; ///< where it listens; may be reused by another server later
    failure_domain domain;    ///< failure domain of its VM; empty if unknown
    std::string instance;     ///< name that requests state so that the server can check them; empty for none
};

/** Limits on what this node sends to a server. */
struct upstream_limits {
    std::uint32_t max_connections = 2; ///< this node's share of the server's connections
    std::uint32_t slots = 2;           ///< requests that the server runs at a time, from all nodes
    bool keep_open = true;    ///< whether an idle connection is kept open; otherwise one is opened on demand
    double sharing_nodes = 1; ///< what a request rate that the server states is divided by
};

/** Whether a server is sent new requests. */
enum class upstream_condition : std::uint8_t {
    ready,        ///< no known problem
    degraded,     ///< slow, failing, shedding or late: used if no ready server is left, or for a trial
    unresponsive, ///< no reply for so long that it counts as lost until a new connection is established
    leaving,      ///< it announced that it drains, or was removed
    paused,       ///< it asked for a pause
};

/** @return whether a server in this condition is sent requests. */
[[nodiscard]] constexpr bool takes_requests(upstream_condition it) {
    return it == upstream_condition::ready || it == upstream_condition::degraded;
}

/** A request that was sent to a server and has not been answered. */
struct request_in_flight {
    attempt_id attempt;                 ///< the attempt that sent it
    connection_id connection;           ///< the connection that carries it
    time_point sent;                    ///< when it was sent
    duration usual_latency;             ///< time within which nearly all requests of this kind are answered
    bool reported_unresponsive = false; ///< whether take_unresponsive_requests() has returned it
};

/**
 * One server. The leaving state belongs to one incarnation: a reply from a later incarnation clears it. If
 * the server's ID already identifies a single incarnation, incarnations need not be distinguished.
 */
class upstream {
public:
    upstream(upstream_identity identity, upstream_limits limits)
        : identity_{std::move(identity)}, limits_{limits} {}

    [[nodiscard]] const upstream_identity& identity() const noexcept { return identity_; }
    [[nodiscard]] const upstream_id& id() const noexcept { return identity_.id; }
    [[nodiscard]] const upstream_address& address() const noexcept { return identity_.address; }
    [[nodiscard]] const upstream_limits& limits() const noexcept { return limits_; }
    void set_limits(upstream_limits limits) { limits_ = limits; }
    /** Updates the failure domain after the registry entry of the same incarnation has changed. */
    void set_domain(failure_domain domain) { identity_.domain = std::move(domain); }

    [[nodiscard]] upstream_health& health() noexcept { return health_; }
    [[nodiscard]] const upstream_health& health() const noexcept { return health_; }
    [[nodiscard]] concurrency_limit& concurrency() noexcept { return concurrency_; }
    [[nodiscard]] rate_limit& rate() noexcept { return rate_; }
    [[nodiscard]] const rate_limit& rate() const noexcept { return rate_; }
    [[nodiscard]] bool is_leaving() const noexcept { return leaving_; }
    /**
     * Records that an incarnation of the server is leaving.
     * @param incarnation the one that is leaving; empty if the source does not know it
     * @return whether the server was not leaving before
     */
    bool mark_leaving(std::string_view incarnation);
    /**
     * Records a live incarnation. Clears the leaving state only if a different incarnation was known before.
     * @return whether it cleared the state
     */
    bool mark_live(std::string_view incarnation);
    /** @return the incarnation last recorded; empty for none. */
    [[nodiscard]] const std::string& incarnation() const noexcept { return incarnation_; }

    /**
     * Records that the server wants no request for a while. A statement replaces an earlier one if it answers
     * a request that was sent after that; otherwise the longer pause holds.
     * @param sent when the request was sent
     */
    void pause(time_point now, time_point sent, time_point until);
    /** @return when the last pause that it asked for ends. */
    [[nodiscard]] time_point paused_until() const noexcept { return paused_until_; }

    [[nodiscard]] upstream_condition condition(time_point now) const;
    /** @return whether a request to it became unresponsive and it has replied to none since. */
    [[nodiscard]] bool is_silent() const noexcept { return silent_; }
    /** Records a reply of any kind. */
    void on_reply() { silent_ = false; }
    /** Records a good reply, which ends the caution after a pause. */
    void on_good_reply() { resumes_ = false; }
    /** @return whether a request sent now would be the single trial of a slow or failing server. */
    [[nodiscard]] bool is_trial_due(time_point now) const;

    /** @return the most recently used open connection without a request; nullopt if there is none. */
    [[nodiscard]] std::optional<connection_id> idle_connection(time_point now) const;
    /** @return a connection for a new request; nullopt if none is idle or the server takes no more now. */
    [[nodiscard]] std::optional<connection_id> connection_for_request(time_point now) const;
    /** @return whether one more connection may be opened at @p now. */
    [[nodiscard]] bool may_connect(time_point now) const;
    /** @return whether a connection is being opened. */
    [[nodiscard]] bool is_connecting() const;
    [[nodiscard]] std::uint32_t open_connections() const;
    [[nodiscard]] std::uint32_t in_flight() const noexcept {
        return static_cast<std::uint32_t>(in_flight_.size());
    }
    /** @return age of the oldest unanswered request; zero for none. */
    [[nodiscard]] duration oldest_age(time_point now) const;
    /** @return requests that have become unresponsive since the last call. */
    [[nodiscard]] std::vector<request_in_flight> take_unresponsive_requests(time_point now);
    /** @return open connections without a request that were last used before @p when. */
    [[nodiscard]] std::vector<connection_id> unused_since(time_point when) const;
    /** @return open connections without a request. */
    [[nodiscard]] std::vector<connection_id> idle_connections() const;

    void on_connecting(connection_id id, time_point now);
    void on_connected(connection_id id, time_point now);
    /** Excludes requests sent before @p now from the condition: their connections failed, not the server. */
    void ignore_earlier_requests(time_point now) { ignored_before_ = now; }
    /** Removes a connection that ended, with the request on it. */
    void on_connection_gone(connection_id id);
    void on_sent(attempt_id attempt, connection_id connection, time_point now, duration usual_latency);
    /**
     * Records the reply to a request on a connection that stays open.
     * @param idle_timeout how long the server keeps an unused connection open; zero if it did not state it
     */
    void on_answered(connection_id id, time_point now, duration idle_timeout);
    /** @return whether a connection has carried an answered request. */
    [[nodiscard]] bool has_served(connection_id id) const;
    /** @return the request on a connection; null if there is none. */
    [[nodiscard]] const request_in_flight* request_on(connection_id id) const;

private:
    /** State of one connection. */
    struct connection_state {
        connection_id id;        ///< the connection
        bool open = false;       ///< false while it is being opened
        bool busy = false;       ///< whether a request is in flight on it
        bool served = false;     ///< whether a request on it was answered
        time_point last_used;    ///< when it was opened or carried its last reply
        time_point usable_until; ///< from then on the server may close it as idle
    };

    connection_state& at(connection_id id);

    upstream_identity identity_;                ///< see identity()
    upstream_limits limits_;                    ///< see limits()
    upstream_health health_;                    ///< see health()
    concurrency_limit concurrency_;             ///< see concurrency()
    rate_limit rate_;                           ///< see rate()
    bool leaving_ = false;                      ///< see is_leaving()
    std::string incarnation_;                   ///< see incarnation()
    bool silent_ = false;                       ///< see is_silent()
    time_point paused_until_{};                 ///< see paused_until()
    time_point pause_stated_at_{};              ///< when the last pause was stated
    bool resumes_ = false;                      ///< after a pause, until a good reply: one request at a time
    time_point ignored_before_{};               ///< see ignore_earlier_requests()
    std::vector<connection_state> connections_; ///< connections open or being opened
    std::vector<request_in_flight> in_flight_;  ///< unanswered requests, oldest first
};

} // namespace pollengrade
