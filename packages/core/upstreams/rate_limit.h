/** @file rate_limit.h The request rate that a server states, and this node's share of it. */
#pragma once

#include <cstdint>
#include <optional>

#include "core/base/time_type.h"

namespace pollengrade {

/** What a reply states about the request rate that its server accepts. */
struct rate_statement {
    std::optional<double> per_second; ///< requests per second from all nodes together; nullopt for no limit
    bool is_readable = true;          ///< false if a rate is stated but is not a valid number
};

/** What changed with a statement. */
enum class rate_change : std::uint8_t {
    none,   ///< nothing, or so little that it is not worth a log line
    stated, ///< the server began to state a rate, or states another one
    lifted, ///< the server no longer states a rate
};

/** The request rate that one server states in its replies. */
class rate_limit {
public:
    /**
     * Records what a reply states. Replies may arrive out of order: one to a request that was sent before the
     * last statement arrived does not lift the limit.
     * @param sent when the request was sent
     */
    rate_change on_reply(time_point now, time_point sent, const rate_statement& statement);

    /** @return the rate that the server states, in requests per second from all nodes; nullopt for none. */
    [[nodiscard]] std::optional<double> stated() const noexcept { return stated_; }

private:
    std::optional<double> stated_; ///< see stated()
    double logged_ = 0;            ///< the rate last reported as a change
    time_point stated_at_{};       ///< when the last reply that stated a rate arrived
};

} // namespace pollengrade
