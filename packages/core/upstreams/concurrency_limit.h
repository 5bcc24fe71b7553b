/** @file concurrency_limit.h How many requests a node lets one server work on at a time. */
#pragma once

#include <cstdint>

#include "core/base/time_type.h"

namespace pollengrade {

/**
 * Designed for servers that are too slow for their load, whose own queue grows until every reply is late.
 * Follows the reply times: the limit falls while replies take several times as long as an unloaded server
 * needs, and grows again with each reply in time. Requests above the limit wait on this node, where they can
 * still go to another server and can be withdrawn without cost.
 */
class concurrency_limit {
public:
    /**
     * Records a reply.
     * @param sent when the request was sent
     * @param took from sending to the reply's last byte
     * @param unloaded reply time of the same kind of work without a queue; zero if unknown
     * @param in_flight requests at the server when the reply came, the replied one included
     */
    void on_reply(time_point now, time_point sent, duration took, duration unloaded, std::uint32_t in_flight);

    /** @return the number of requests that may be at the server at a time; at least 1. */
    [[nodiscard]] std::uint32_t value() const noexcept { return static_cast<std::uint32_t>(limit_); }

private:
    static constexpr double max_limit = 64; ///< the number of connections limits requests as well

    double limit_ = max_limit; ///< see value()
    time_point reduced_at_{};  ///< requests sent before the last reduction do not reduce it again
};

} // namespace pollengrade
