/** @file service_document.h The document by which a team drives its service. */
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

/** What an answer gives up first when a shard is late. */
enum class answer_preference : std::uint8_t {
    coverage, ///< wait for every shard until the deadline
    tail,     ///< stop at the tail cut once enough shards are in
};

/** A checked service document. */
struct service_document {
    service_name name;                                          ///< the service
    duration default_deadline{};                                ///< for requests that name none
    duration max_deadline{};                                    ///< longest deadline a request may name
    answer_preference preference = answer_preference::coverage; ///< coverage or tail
    std::uint32_t min_coverage_percent = 0;                     ///< enough to stop at the tail cut
    duration tail_cut{};                                        ///< when tail preference stops waiting
    bool orders_allowed = false;                                ///< whether orders are taken
    std::uint32_t max_rows = 0;                                 ///< most rows in an answer
    std::uint32_t slots_per_server = 0;                         ///< requests a server runs at a time
    std::uint32_t connections_per_server = 0; ///< connections a server takes, over all nodes
    std::uint32_t queue_per_server = 0;       ///< requests a node keeps waiting for a server
    std::uint32_t extra_load_percent = 0;     ///< hedges and retries of requests needed
    std::uint32_t extra_load_burst = 0;       ///< hedges and retries kept in reserve
    bool hedge_enabled = false;               ///< whether hedges are sent
    duration hedge_min_delay{};               ///< earliest hedge after the first attempt
};

/** @return the known keys of a service document. */
[[nodiscard]] std::span<const key_rule> service_document_rules();

/**
 * Parses and checks a service document.
 * @param text the INI text
 * @return the document, or every error found
 */
[[nodiscard]] tl::expected<service_document, std::vector<settings_error>>
parse_service_document(std::string_view text);

} // namespace pollengrade
