/** @file error_type.cpp Names of outcomes, errors and reasons. */
#include "core/base/error_type.h"

#include <array>

namespace pollengrade {

namespace {

constexpr std::array<std::string_view, 5> outcome_names{"answered", "partial", "refused", "unknown",
                                                        "invalid"};

constexpr std::array<std::string_view, attempt_error_count> attempt_error_names{
    "not_sent",      "rate_limited",    "shed",      "draining",  "version_absent", "wrong_server",
    "refused",       "connection_lost", "timed_out", "malformed", "oversized",      "wrong_request",
    "wrong_version", "server_error",    "cancelled"};

constexpr std::array<std::string_view, 6> missing_reason_names{"no_replica", "deadline",       "tail_cut",
                                                               "load_shed",  "version_absent", "failed"};

constexpr std::array<std::string_view, 14> refusal_reason_names{
    "none",       "unknown_service", "no_snapshot",      "overload",    "deadline_passed",
    "stopping",   "platform_down",   "orders_forbidden", "key_expired", "key_malformed",
    "key_reused", "bad_request",     "upstream_refused", "not_ready"};

/** @return the name of @p it in @p names; "invalid_value" if it has none. */
template <typename Enum, std::size_t Size>
std::string_view name_of(Enum it, const std::array<std::string_view, Size>& names) {
    const auto n = static_cast<std::size_t>(it);
    return n < Size ? names.at(n) : std::string_view{"invalid_value"};
}

} // namespace

std::string_view to_string(outcome it) {
    return name_of(it, outcome_names);
}

std::string_view to_string(attempt_error it) {
    return name_of(it, attempt_error_names);
}

std::string_view to_string(missing_reason it) {
    return name_of(it, missing_reason_names);
}

std::string_view to_string(refusal_reason it) {
    return name_of(it, refusal_reason_names);
}

} // namespace pollengrade
