/** @file node_settings.h Settings that a node reads from its settings file. */
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/config/ini_document.h"

namespace pollengrade {

/** Interface that a node offers to callers. */
enum class interface_kind : std::uint8_t {
    documents, ///< the project's own interface, configured by service documents
    routes,    ///< forwarding of requests according to the users' routes
};

/** Limits on the extra requests (hedges and retries) that all nodes together may send to a service. */
struct retry_budget_settings {
    double ratio = 0;  ///< extra requests for each needed request
    double slack = 0;  ///< further extra requests in each window
    duration window{}; ///< sliding window over which both are counted
};

/** Settings of one node. */
struct node_settings {
    std::string name;                                     ///< name of the node in logs
    interface_kind interface = interface_kind::documents; ///< interface offered to callers
    node_address callers;                                 ///< address on which callers are served
    node_address readiness;          ///< address for the load balancer's readiness checks; routes only
    node_address operators;          ///< address of metrics, status and the event log
    node_address peers;              ///< address on which other nodes are served
    std::string source;              ///< IPv4 address from which servers are connected to; empty for any
    failure_domain domain;           ///< failure domain of the VM
    std::uint32_t capacity = 0;      ///< CPU capacity in millicores: share times speed
    std::size_t memory = 0;          ///< bytes that the process may use
    duration caller_round_trip{};    ///< to callers whose connection does not tell it; routes only
    duration apply_limit{};          ///< time within which a change in the store must be in force
    duration max_pause{};            ///< longest pause that a server may ask for
    duration grace{};                ///< longest time from the stop signal to the end of the process
    node_address platform;           ///< address of the platform's object API
    duration server_heartbeat{};     ///< interval at which servers renew their entries in the platform
    std::vector<node_address> seeds; ///< peers to contact first
    retry_budget_settings budget;    ///< limits on hedges and retries; routes only
    std::string debug;               ///< subsystems whose debug messages are logged, or "all"
};

/** @return the definitions of all keys of a node's settings. */
[[nodiscard]] std::span<const key_rule> node_settings_rules();

/**
 * Parses and validates a node's settings.
 * @param text the INI text
 * @return the settings, or all errors found
 */
[[nodiscard]] tl::expected<node_settings, std::vector<settings_error>>
parse_node_settings(std::string_view text);

} // namespace pollengrade
