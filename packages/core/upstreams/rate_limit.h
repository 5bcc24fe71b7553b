/** @file rate_limit.h The request rate that a server states, and this node's share of it. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "core/base/time_type.h"

namespace pollengrade {

/** What a reply states about the request rate that its server accepts. */
struct rate_statement {
    std::optional<double> per_second; ///< requests per second from all nodes together; nullopt for no limit
    bool is_readable = true;          ///< false if a rate is stated but is not a valid number
};

/** What a reply states about a pause that its server wants. */
struct pause_statement {
    duration length{0};      ///< for which the server wants no request; zero for no pause
    bool is_readable = true; ///< false if a pause is stated but is not a valid number
};

/** What changed with a statement. */
enum class rate_change : std::uint8_t {
    none,   ///< nothing, or so little that it is not worth a log line
    stated, ///< the server began to state a rate, or states another one
    lifted, ///< the server no longer states a rate
};

/**
 * The request rate that one server states in its replies, and this node's share of it as a token bucket.
 * Designed for servers that state less than they are sent. The server's rate is divided by the number of
 * nodes that share it, so that all nodes together stay within it without knowing of each other's requests.
 * Every request to the server takes a token: first attempts, retries and trials alike.
 */
class rate_limit {
public:
    /**
     * Records what a reply states. Replies may arrive out of order: one to a request that was sent before the
     * last statement arrived does not lift the limit.
     * @param sent when the request was sent
     * @param first_tokens tokens that the node has when the limit begins, 0 to 1; drawn at random, so that
     * not all nodes send their next request at the same time
     */
    rate_change on_reply(time_point now, time_point sent, const rate_statement& statement,
                         double first_tokens);
    /** Sets the number of nodes that the stated rate is divided by. */
    void set_sharing_nodes(time_point now, double nodes);
    /** Records that a request is sent. */
    void on_sent(time_point now);

    /** @return the rate that the server states, in requests per second from all nodes; nullopt for none. */
    [[nodiscard]] std::optional<double> stated() const noexcept { return stated_; }
    /** @return this node's share of the stated rate, in requests per second; 0 without a limit. */
    [[nodiscard]] double share() const noexcept;
    /** @return the number of requests that may be sent now. @pre a rate is stated */
    [[nodiscard]] std::uint32_t sendable(time_point now) const;
    /** @return whether a request may be sent now. */
    [[nodiscard]] bool may_send(time_point now) const { return !stated_ || sendable(now) > 0; }
    /** @return the time until so many requests may be sent; zero if that is now. @pre a rate is stated */
    [[nodiscard]] duration time_until(time_point now, std::uint32_t requests) const;

private:
    [[nodiscard]] double tokens(time_point now) const;
    void refill(time_point now);

    std::optional<double> stated_; ///< see stated()
    double logged_ = 0;            ///< the rate last reported as a change
    time_point stated_at_{};       ///< when the last reply that stated a rate arrived
    double sharing_nodes_ = 1;     ///< see set_sharing_nodes()
    double tokens_ = 0;            ///< requests that could be sent at refilled_at_
    time_point refilled_at_{};     ///< when tokens_ was computed
};

/** @return the time until so many requests can be sent to servers that state rates; zero for no servers. */
[[nodiscard]] duration time_to_send(std::span<const rate_limit* const> rates, time_point now,
                                    std::size_t requests);

} // namespace pollengrade
