/** @file service_document.h Service document: the configuration that a team writes for its service. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/config/ini_document.h"
#include "core/config/settings_type.h"

namespace pollengrade {

/** What is preferred if a shard answers late: complete answers or a short tail latency. */
enum class answer_preference : std::uint8_t {
    coverage, ///< wait for every shard until the deadline
    tail,     ///< stop waiting at the tail cut once enough shards have answered
};

/** A validated service document. */
struct service_document {
    service_name name;                                          ///< name of the service
    duration default_deadline{};                                ///< deadline of requests that name none
    duration max_deadline{};                                    ///< longest deadline a request may name
    answer_preference preference = answer_preference::coverage; ///< whether to wait for late shards
    std::uint32_t min_coverage_percent = 0;                     ///< least coverage to stop at the tail cut
    duration tail_cut{};                      ///< time after which preference tail stops waiting
    bool orders_allowed = false;              ///< whether orders are accepted
    std::uint32_t max_rows = 0;               ///< maximum number of rows in an answer
    std::uint32_t slots_per_server = 0;       ///< requests that a server runs concurrently
    std::uint32_t connections_per_server = 0; ///< connections that a server accepts from all nodes together
    std::uint32_t queue_per_server = 0;       ///< requests that a node queues for a server
    std::uint32_t extra_load_percent = 0;     ///< hedges and retries, relative to needed requests
    std::uint32_t extra_load_burst = 0;       ///< hedges and retries that may be saved up
    bool hedge_enabled = false;               ///< whether hedges are sent
    duration hedge_min_delay{};               ///< least delay of a hedge after the first attempt
};

/** @return the definitions of all keys of a service document. */
[[nodiscard]] std::span<const key_rule> service_document_rules();

/**
 * Parses and validates a service document.
 * @param text the INI text
 * @return the document, or all errors found
 */
[[nodiscard]] tl::expected<service_document, std::vector<settings_error>>
parse_service_document(std::string_view text);

} // namespace pollengrade
