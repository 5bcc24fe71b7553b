/** @file upstream.h One life of one server, as this node sees it: identity, connections, requests, health.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/upstreams/connection_type.h"
#include "core/upstreams/upstream_health.h"

namespace pollengrade {

/** Who a server is. */
struct upstream_identity {
    upstream_id id;           ///< one life of it
    upstream_address address; ///< where it listens; another server's later
    failure_domain domain;    ///< where its VM stands; empty when not known
    std::string instance;     ///< the name that the server checks requests for; empty for none
};

/** What a server takes from this node. */
struct upstream_limits {
    std::uint32_t max_connections = 2; ///< this node's share of the server's connections
    std::uint32_t slots = 2;           ///< requests the server runs at a time, from all nodes
    bool keep_open = true;             ///< whether a connection is kept ready; else one is opened when needed
};

/** Whether a server is to be sent new requests. */
enum class upstream_condition : std::uint8_t {
    ready,    ///< nothing speaks against it
    degraded, ///< slow, failing, shedding, or late with a reply: only when there is no other, or as a trial
    unresponsive, ///< has not answered for so long that it counts as lost until a new connection comes about
    leaving,      ///< it said so, or was removed
};

/** A request at a server. */
struct request_in_flight {
    attempt_id attempt;                 ///< which
    connection_id connection;           ///< on which connection
    time_point sent;                    ///< when
    duration usual;                     ///< a time within which nearly all such requests are answered
    bool reported_unresponsive = false; ///< whether take_unresponsive_requests() has given it
};

/**
 * One server. Leaving holds for one incarnation: word of a later one clears it. A server whose ID names one
 * life of it has no incarnations to tell apart.
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
    /** Takes what the registry says anew about the same life of the server. */
    void set_domain(failure_domain domain) { identity_.domain = std::move(domain); }

    [[nodiscard]] upstream_health& health() noexcept { return health_; }
    [[nodiscard]] const upstream_health& health() const noexcept { return health_; }
    [[nodiscard]] bool is_leaving() const noexcept { return leaving_; }
    /**
     * Notes that an incarnation of the server is leaving.
     * @param incarnation the one leaving; empty when the source does not know it
     * @return whether this is news
     */
    bool mark_leaving(std::string_view incarnation);
    /** Notes a live incarnation; clears leaving only when it is another one. @return whether it did. */
    bool mark_live(std::string_view incarnation);
    /** @return the incarnation last heard of; empty when none was. */
    [[nodiscard]] const std::string& incarnation() const noexcept { return incarnation_; }

    [[nodiscard]] upstream_condition condition(time_point now) const;
    /** @return whether a request sent now would be the one trial of a server in doubt. */
    [[nodiscard]] bool is_trial_due(time_point now) const;

    /** @return an open connection without a request, the one used last; nullopt when there is none. */
    [[nodiscard]] std::optional<connection_id> idle_connection(time_point now) const;
    /** @return whether one more connection may be opened at @p now. */
    [[nodiscard]] bool may_connect(time_point now) const;
    /** @return whether a connection is being opened. */
    [[nodiscard]] bool is_connecting() const;
    [[nodiscard]] std::uint32_t open_connections() const;
    [[nodiscard]] std::uint32_t in_flight() const noexcept {
        return static_cast<std::uint32_t>(in_flight_.size());
    }
    /** @return age of the oldest request not answered; zero for none. */
    [[nodiscard]] duration oldest_age(time_point now) const;
    /** @return requests that have come to count as lost with their connection since the last call. */
    [[nodiscard]] std::vector<request_in_flight> take_unresponsive_requests(time_point now);
    /** @return connections without a request that were last used before a time. */
    [[nodiscard]] std::vector<connection_id> unused_since(time_point when) const;
    /** @return connections without a request. */
    [[nodiscard]] std::vector<connection_id> idle_connections() const;

    void on_connecting(connection_id id, time_point now);
    void on_connected(connection_id id, time_point now);
    /** From now on requests sent before @p now say nothing about the server: its connections were at fault.
     */
    void ignore_earlier_requests(time_point now) { ignored_before_ = now; }
    /** Notes the end of a connection, and of the request on it. */
    void on_connection_gone(connection_id id);
    void on_sent(attempt_id attempt, connection_id connection, time_point now, duration usual);
    /**
     * Notes the end of a request on a connection that stays open.
     * @param idle_timeout how long the server keeps the connection unused; zero when it did not say
     */
    void on_answered(connection_id id, time_point now, duration idle_timeout);
    /** @return whether a connection has carried an answered request. */
    [[nodiscard]] bool has_served(connection_id id) const;
    /** @return the request on a connection; null when there is none. */
    [[nodiscard]] const request_in_flight* request_on(connection_id id) const;

private:
    /** One connection. */
    struct connection_state {
        connection_id id;        ///< which
        bool open = false;       ///< else it is being opened
        bool busy = false;       ///< whether a request is on it
        bool served = false;     ///< whether a request on it was answered
        time_point last_used;    ///< opened, or last reply
        time_point usable_until; ///< when the server may close it unused
    };

    connection_state& at(connection_id id);

    upstream_identity identity_;                ///< who it is
    upstream_limits limits_;                    ///< what it takes
    upstream_health health_;                    ///< how it has served
    bool leaving_ = false;                      ///< see is_leaving()
    std::string incarnation_;                   ///< see incarnation()
    time_point ignored_before_{};               ///< see ignore_earlier_requests()
    std::vector<connection_state> connections_; ///< its connections
    std::vector<request_in_flight> in_flight_;  ///< oldest first
};

} // namespace pollengrade
