/** @file rate_limit.cpp Order of a server's statements, and the token bucket. */
#include "core/upstreams/rate_limit.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace pollengrade {

namespace {

/** Smaller changes of a stated rate are not reported, as a share of the rate reported last. */
constexpr double min_reported_change = 0.1;
/**
 * Requests per second to a server that states a lower rate. A server that is sent nothing could not show that
 * it accepts requests again.
 */
constexpr double min_rate = 0.25;
/** Requests that may be saved up, in seconds of the share; always at least one request. */
constexpr double bucket_depth_s = 0.25;
constexpr double rounding = 1e-6;    ///< of a token, lost in sums of small fractions
constexpr double max_sendable = 1e6; ///< caps the result of sendable()
constexpr double us_per_s = 1e6;

} // namespace

rate_change rate_limit::on_reply(time_point now, time_point sent, const rate_statement& statement,
                                 double first_tokens) {
    if (!statement.is_readable)
        return rate_change::none;
    if (!statement.per_second) {
        if (!stated_ || sent < stated_at_)
            return rate_change::none;
        stated_.reset();
        return rate_change::lifted;
    }
    const bool is_new = !stated_.has_value();
    if (is_new)
        tokens_ = first_tokens;
    else
        refill(now);
    refilled_at_ = now;
    stated_ = *statement.per_second;
    stated_at_ = now;
    if (!is_new && std::abs(*stated_ - logged_) <= logged_ * min_reported_change)
        return rate_change::none;
    logged_ = *stated_;
    return rate_change::stated;
}

void rate_limit::set_sharing_nodes(time_point now, double nodes) {
    refill(now);
    sharing_nodes_ = std::max(1.0, nodes);
}

void rate_limit::on_sent(time_point now) {
    if (!stated_)
        return;
    refill(now);
    tokens_ -= 1;
}

double rate_limit::share() const noexcept {
    return stated_ ? std::max(*stated_, min_rate) / sharing_nodes_ : 0;
}

double rate_limit::tokens(time_point now) const {
    const double elapsed_s = static_cast<double>((now - refilled_at_).count()) / us_per_s;
    return std::min(std::max(1.0, share() * bucket_depth_s), tokens_ + share() * elapsed_s);
}

void rate_limit::refill(time_point now) {
    if (!stated_)
        return;
    tokens_ = tokens(now);
    refilled_at_ = now;
}

std::uint32_t rate_limit::sendable(time_point now) const {
    return static_cast<std::uint32_t>(std::clamp(tokens(now) + rounding, 0.0, max_sendable));
}

duration rate_limit::time_until(time_point now, std::uint32_t requests) const {
    const double missing = static_cast<double>(requests) - tokens(now);
    return duration{static_cast<duration::rep>(std::ceil(std::max(0.0, missing) / share() * us_per_s))};
}

duration time_to_send(std::span<const rate_limit* const> rates, time_point now, std::size_t requests) {
    std::vector<std::uint32_t> sent(rates.size(), 0);
    duration wait{0};
    for (std::size_t n = 0; n < requests && !rates.empty(); ++n) {
        std::size_t first = 0;
        duration earliest = duration::max();
        for (std::size_t server = 0; server < rates.size(); ++server) {
            const duration until = rates[server]->time_until(now, sent[server] + 1);
            if (until >= earliest)
                continue;
            earliest = until;
            first = server;
        }
        ++sent[first];
        wait = earliest;
    }
    return wait;
}

} // namespace pollengrade
