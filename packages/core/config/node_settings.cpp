/** @file node_settings.cpp Keys and validation of a node's settings. */
#include "core/config/node_settings.h"

#include <array>

#include "core/base/address_func.h"

namespace pollengrade {

namespace {

constexpr std::array<key_rule, 23> rules{{
    {"node", "name", setting_type::text, 1, 63, "", true, "", "",
     "Name of the node in logs and in the event log."},
    {"node", "interface", setting_type::choice, 0, 0, "documents", false, "documents|routes", "",
     "Interface for callers: the project's own, configured by service documents, or forwarding by routes."},
    {"node", "callers", setting_type::text, 9, 21, "", true, "", "",
     "IPv4:port on which callers are served."},
    {"node", "readiness", setting_type::text, 0, 21, "", false, "", "",
     "IPv4:port for the load balancer's readiness checks; required with interface = routes."},
    {"node", "operators", setting_type::text, 9, 21, "", true, "", "",
     "IPv4:port of metrics, health, status and the event log."},
    {"node", "peers", setting_type::text, 9, 21, "", true, "", "",
     "IPv4:port on which other nodes are served."},
    {"node", "source", setting_type::text, 0, 15, "", false, "", "",
     "IPv4 address from which servers are connected to; empty to let the system choose."},
    {"node", "failure_domain", setting_type::text, 1, 63, "", true, "", "", "Failure domain of the VM."},
    {"node", "cpu_share", setting_type::decimal, 0, 1024, "1", false, "", "cores",
     "CPU cores that the VM gives this process; nodes with more capacity are preferred as holders of "
     "connections."},
    {"node", "cpu_speed", setting_type::decimal, 0, 1024, "1", false, "", "",
     "Speed of such a core, relative to those of other nodes."},
    {"node", "memory_mb", setting_type::decimal, 32, 1048576, "256", false, "", "MB",
     "Memory that the process may use, or that of the machine if it is less; replies under way take a "
     "quarter of it at most, and so does what is held for callers."},
    {"node", "grace_s", setting_type::decimal, 1, 600, "10", false, "", "s",
     "Longest time from the stop signal to the end of the process."},
    {"node", "caller_round_trip_ms", setting_type::decimal, 0, 1000, "5", false, "", "ms",
     "With interface = routes: round trip to callers whose connection does not tell it."},
    {"node", "debug", setting_type::text, 0, 200, "", false, "", "",
     "Comma-separated subsystems whose debug messages are logged, or all."},
    {"platform", "address", setting_type::text, 9, 21, "", true, "", "",
     "IPv4:port of the platform's object API."},
    {"platform", "heartbeat_ms", setting_type::decimal, 10, 600000, "1200", false, "", "ms",
     "Interval at which servers renew their entries; the platform removes an entry after three without a "
     "sign of life."},
    {"platform", "apply_ms", setting_type::decimal, 500, 60000, "3000", false, "", "ms",
     "Time within which a change in the platform's store must be in force on every node; a node that has no "
     "confirmation for half of it asks the store itself."},
    {"cluster", "seeds", setting_type::text, 0, 4096, "", false, "", "",
     "Comma-separated list of other nodes' IPv4:port to contact first."},
    {"cluster", "peer_port", setting_type::number, 0, 65535, "0", false, "", "",
     "Peer port of all seeds, which overrides the ports in seeds; 0 keeps those."},
    {"retries", "ratio", setting_type::decimal, 0, 10, "0.2", false, "", "requests",
     "With interface = routes: hedges and retries for each needed request, over all nodes."},
    {"retries", "slack", setting_type::decimal, 0, 1000000, "20", false, "", "requests",
     "With interface = routes: further hedges and retries in each window, over all nodes."},
    {"retries", "window_s", setting_type::decimal, 1, 3600, "10", false, "", "s",
     "Sliding window over which ratio and slack are counted."},
    {"servers", "max_pause_s", setting_type::decimal, 0, 3600, "300", false, "", "s",
     "Longest pause that a server may ask for; a longer one is reduced to it."},
}};

/**
 * Appends the addresses of a comma-separated list.
 * @param port replaces the ports in the list; 0 keeps them
 * @return false if an item is not an IPv4 address with a port
 */
bool split_addresses(std::string_view text, std::uint32_t port, std::vector<node_address>& addresses) {
    while (!text.empty()) {
        const auto comma = text.find(',');
        std::string_view it = text.substr(0, comma);
        while (it.starts_with(' '))
            it.remove_prefix(1);
        if (!is_address(it))
            return false;
        if (port == 0)
            addresses.emplace_back(std::string{it});
        else
            addresses.emplace_back(std::string{it.substr(0, it.find(':') + 1)} + std::to_string(port));
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    return true;
}

duration seconds_of(const ini_document& ini, std::string_view group, std::string_view key) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{ini.decimal(group, key)});
}

duration milliseconds_of(const ini_document& ini, std::string_view group, std::string_view key) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{ini.decimal(group, key)});
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
    it.source = ini->text("node", "source");
    if (!it.source.empty() && !is_address(it.source + ":1"))
        errors.push_back({settings_error_code::not_a_choice, "node", "source", 0, "an IPv4 address"});
    it.domain = failure_domain{ini->text("node", "failure_domain")};
    it.debug = ini->text("node", "debug");
    it.platform = address("platform", "address");
    it.server_heartbeat = milliseconds_of(*ini, "platform", "heartbeat_ms");
    it.apply_limit = milliseconds_of(*ini, "platform", "apply_ms");
    it.interface =
        ini->text("node", "interface") == "routes" ? interface_kind::routes : interface_kind::documents;
    if (it.interface == interface_kind::routes)
        it.readiness = address("node", "readiness");
    constexpr double millicores_per_core = 1000;
    it.capacity = static_cast<std::uint32_t>(ini->decimal("node", "cpu_share") *
                                             ini->decimal("node", "cpu_speed") * millicores_per_core);
    constexpr double bytes_per_megabyte = 1e6;
    it.memory = static_cast<std::size_t>(ini->decimal("node", "memory_mb") * bytes_per_megabyte);
    it.grace = seconds_of(*ini, "node", "grace_s");
    it.caller_round_trip = milliseconds_of(*ini, "node", "caller_round_trip_ms");
    it.budget.ratio = ini->decimal("retries", "ratio");
    it.budget.slack = ini->decimal("retries", "slack");
    it.max_pause = seconds_of(*ini, "servers", "max_pause_s");
    it.budget.window = seconds_of(*ini, "retries", "window_s");
    const auto peer_port = static_cast<std::uint32_t>(ini->number("cluster", "peer_port"));
    if (!split_addresses(ini->text("cluster", "seeds"), peer_port, it.seeds)) {
        errors.push_back(
            {settings_error_code::not_a_choice, "cluster", "seeds", 0, "IPv4:port, separated by commas"});
    }
    if (!errors.empty())
        return tl::unexpected{std::move(errors)};
    return it;
}

} // namespace pollengrade
