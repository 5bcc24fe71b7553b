/** @file service_document.cpp Keys and validation of service documents. */
#include "core/config/service_document.h"

#include <algorithm>
#include <array>

namespace pollengrade {

namespace {

constexpr std::array<key_rule, 15> rules{{
    {"service", "name", setting_type::text, 1, 63, "", true, "", "",
     "Name of the service, as in request paths."},
    {"service", "deadline_ms", setting_type::number, 1, 60000, "380", false, "", "ms",
     "Deadline of a request that names none."},
    {"service", "max_deadline_ms", setting_type::number, 1, 60000, "5000", false, "", "ms",
     "Longest deadline that a request may name; longer ones are reduced to it."},
    {"service", "prefer", setting_type::choice, 0, 0, "coverage", false, "coverage|tail", "",
     "How late shards are handled: wait for them (coverage) or answer without their rows (tail)."},
    {"service", "min_coverage_percent", setting_type::number, 0, 100, "90", false, "", "percent",
     "With prefer=tail, the share of shards that is enough to stop at tail_cut_ms."},
    {"service", "tail_cut_ms", setting_type::number, 1, 60000, "200", false, "", "ms",
     "With prefer=tail, time after which an answer with enough shards stops waiting."},
    {"service", "orders", setting_type::choice, 0, 0, "forbidden", false, "allowed|forbidden", "",
     "Whether non-idempotent requests are accepted."},
    {"service", "max_rows", setting_type::number, 1, 1000, "100", false, "", "rows",
     "Maximum number of rows in one answer."},
    {"limits", "slots_per_server", setting_type::number, 1, 1000, "2", false, "", "requests",
     "Requests that a server runs concurrently."},
    {"limits", "connections_per_server", setting_type::number, 1, 10000, "25", false, "", "connections",
     "Connections that a server accepts from all nodes together."},
    {"limits", "queue_per_server", setting_type::number, 0, 10000, "64", false, "", "requests",
     "Requests that one node queues for a server."},
    {"extra_load", "percent", setting_type::number, 0, 100, "5", false, "", "percent",
     "Hedges and retries together, relative to the needed requests."},
    {"extra_load", "burst", setting_type::number, 0, 10000, "20", false, "", "requests",
     "Hedges and retries that may be saved up while none are needed."},
    {"hedge", "enabled", setting_type::choice, 0, 0, "yes", false, "yes|no", "", "Whether hedges are sent."},
    {"hedge", "min_delay_ms", setting_type::number, 1, 60000, "10", false, "", "ms",
     "Least delay of a hedge; the shard's own 95th percentile applies if it is longer."},
}};

duration milliseconds_of(const ini_document& document, std::string_view group, std::string_view key) {
    return std::chrono::milliseconds{document.number(group, key)};
}

std::uint32_t count_of(const ini_document& document, std::string_view group, std::string_view key) {
    return static_cast<std::uint32_t>(document.number(group, key));
}

bool is_valid_service_name(std::string_view text) {
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
    return text.find_first_not_of(allowed) == std::string_view::npos;
}

} // namespace

std::span<const key_rule> service_document_rules() {
    return rules;
}

tl::expected<service_document, std::vector<settings_error>> parse_service_document(std::string_view text) {
    const auto ini = ini_document::parse(text, rules);
    if (!ini)
        return tl::unexpected{ini.error()};

    service_document it;
    it.name = service_name{ini->text("service", "name")};
    it.default_deadline = milliseconds_of(*ini, "service", "deadline_ms");
    it.max_deadline = milliseconds_of(*ini, "service", "max_deadline_ms");
    it.preference =
        ini->text("service", "prefer") == "tail" ? answer_preference::tail : answer_preference::coverage;
    it.min_coverage_percent = count_of(*ini, "service", "min_coverage_percent");
    it.tail_cut = milliseconds_of(*ini, "service", "tail_cut_ms");
    it.orders_allowed = ini->text("service", "orders") == "allowed";
    it.max_rows = count_of(*ini, "service", "max_rows");
    it.slots_per_server = count_of(*ini, "limits", "slots_per_server");
    it.connections_per_server = count_of(*ini, "limits", "connections_per_server");
    it.queue_per_server = count_of(*ini, "limits", "queue_per_server");
    it.extra_load_percent = count_of(*ini, "extra_load", "percent");
    it.extra_load_burst = count_of(*ini, "extra_load", "burst");
    it.hedge_enabled = ini->text("hedge", "enabled") == "yes";
    it.hedge_min_delay = milliseconds_of(*ini, "hedge", "min_delay_ms");

    std::vector<settings_error> errors;
    if (!is_valid_service_name(it.name.value())) {
        errors.push_back({settings_error_code::not_a_choice, "service", "name", 0,
                          "lower-case letters, digits and hyphens"});
    }
    if (it.default_deadline > it.max_deadline) {
        errors.push_back({settings_error_code::inconsistent, "service", "deadline_ms", 0,
                          "must not be above max_deadline_ms"});
    }
    if (!errors.empty())
        return tl::unexpected{std::move(errors)};
    return it;
}

} // namespace pollengrade
