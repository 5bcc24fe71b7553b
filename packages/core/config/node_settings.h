/** @file node_settings.h What a node is told when it starts. */
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/id_type.h"
#include "core/config/ini_document.h"

namespace pollengrade {

/** A node's own settings. */
struct node_settings {
    std::string name;                ///< the node's name on the time line
    node_address callers;            ///< where callers are served
    node_address operators;          ///< where metrics, status and the time line are served
    node_address peers;              ///< where other nodes are served
    failure_domain domain;           ///< where the VM stands
    node_address platform;           ///< the platform's object API
    std::vector<node_address> seeds; ///< peers to ask first
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
