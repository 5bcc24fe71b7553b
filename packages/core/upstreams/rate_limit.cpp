/** @file rate_limit.cpp Order of a server's statements. */
#include "core/upstreams/rate_limit.h"

#include <cmath>

namespace pollengrade {

namespace {

/** Smaller changes of a stated rate are not reported, as a share of the rate reported last. */
constexpr double min_reported_change = 0.1;

} // namespace

rate_change rate_limit::on_reply(time_point now, time_point sent, const rate_statement& statement) {
    if (!statement.is_readable)
        return rate_change::none;
    if (!statement.per_second) {
        if (!stated_ || sent < stated_at_)
            return rate_change::none;
        stated_.reset();
        return rate_change::lifted;
    }
    const bool is_new = !stated_.has_value();
    stated_ = *statement.per_second;
    stated_at_ = now;
    if (!is_new && std::abs(*stated_ - logged_) <= logged_ * min_reported_change)
        return rate_change::none;
    logged_ = *stated_;
    return rate_change::stated;
}

} // namespace pollengrade
