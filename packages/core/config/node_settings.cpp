/** @file node_settings.cpp Keys and checks of a node's settings. */
#include "core/config/node_settings.h"

#include <array>

#include "core/upstreams/shard_func.h"

namespace pollengrade {

namespace {

constexpr std::array<key_rule, 8> rules{{
    {"node", "name", key_form::text, 1, 63, "", true, "", "", "Name of the node on the time line."},
    {"node", "callers", key_form::text, 9, 21, "", true, "", "", "IPv4:port where callers are served."},
    {"node", "operators", key_form::text, 9, 21, "", true, "", "",
     "IPv4:port of metrics, health, status and time line."},
    {"node", "peers", key_form::text, 9, 21, "", true, "", "", "IPv4:port where other nodes are served."},
    {"node", "failure_domain", key_form::text, 1, 63, "", true, "", "", "Failure domain of the VM."},
    {"node", "debug", key_form::text, 0, 200, "", false, "", "",
     "Subsystems whose debug lines are shown, separated by commas, or all."},
    {"platform", "address", key_form::text, 9, 21, "", true, "", "",
     "IPv4:port of the platform's object API."},
    {"cluster", "seeds", key_form::text, 0, 4096, "", false, "", "",
     "IPv4:port of some other nodes, separated by commas."},
}};

/** Appends the addresses in a list separated by commas. @return false when one is not an address. */
bool split_addresses(std::string_view text, std::vector<node_address>& addresses) {
    while (!text.empty()) {
        const auto comma = text.find(',');
        std::string_view it = text.substr(0, comma);
        while (it.starts_with(' '))
            it.remove_prefix(1);
        if (!is_address(it))
            return false;
        addresses.emplace_back(std::string{it});
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    return true;
}

} // namespace

std::span<const key_rule> node_settings_rules() {
    return rules;
}

tl::expected<node_settings, std::vector<settings_error>> parse_node_settings(std::string_view text) {
    const auto ini = ini_document::parse(text, rules);
    if (!ini)
        return tl::unexpected{ini.error()};
    std::vector<settings_error> errors;
    const auto address = [&](std::string_view group, std::string_view key) {
        const std::string& value = ini->text(group, key);
        if (!is_address(value)) {
            errors.push_back({settings_error_code::not_a_choice, std::string{group}, std::string{key}, 0,
                              "an IPv4 address, a colon and a port"});
        }
        return node_address{value};
    };
    node_settings it;
    it.name = ini->text("node", "name");
    it.callers = address("node", "callers");
    it.operators = address("node", "operators");
    it.peers = address("node", "peers");
    it.domain = failure_domain{ini->text("node", "failure_domain")};
    it.debug = ini->text("node", "debug");
    it.platform = address("platform", "address");
    if (!split_addresses(ini->text("cluster", "seeds"), it.seeds)) {
        errors.push_back(
            {settings_error_code::not_a_choice, "cluster", "seeds", 0, "IPv4:port, separated by commas"});
    }
    if (!errors.empty())
        return tl::unexpected{std::move(errors)};
    return it;
}

} // namespace pollengrade
