/** @file node_settings.h What a node is told when it starts. */
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

/** What a node serves callers with. */
enum class interface_kind : std::uint8_t {
    documents, ///< our own interface, driven by service documents
    routes,    ///< requests forwarded by the users' routes
};

/** How many requests beyond those needed all nodes together may send to a service. */
struct retry_budget_settings {
    double ratio = 0;  ///< for each needed request
    double slack = 0;  ///< in a window besides
    duration window{}; ///< over which both are counted
};

/** A node's own settings. */
struct node_settings {
    std::string name;                                     ///< the node's name in logs
    interface_kind interface = interface_kind::documents; ///< what callers are served with
    node_address callers;                                 ///< where callers are served
    node_address readiness;                               ///< where the balancer asks; for routes
    node_address operators;          ///< where metrics, status and the time line are served
    node_address peers;              ///< where other nodes are served
    failure_domain domain;           ///< where the VM stands
    std::uint32_t capacity = 0;      ///< of the VM: thousandths of a core
    duration grace{};                ///< longest time from the signal to stop to the end
    node_address platform;           ///< the platform's object API
    std::vector<node_address> seeds; ///< peers to ask first
    retry_budget_settings budget;    ///< of hedges and retries; for routes
    std::string debug;               ///< subsystems whose debug lines are shown
};

/** @return the known keys of a node's settings. */
[[nodiscard]] std::span<const key_rule> node_settings_rules();

/**
 * Parses and checks a node's settings.
 * @param text the INI text
 * @return the settings, or every error found
 */
[[nodiscard]] tl::expected<node_settings, std::vector<settings_error>>
parse_node_settings(std::string_view text);

} // namespace pollengrade
