/** @file node_settings.cpp Keys and checks of a node's settings. */
#include "core/config/node_settings.h"

#include <array>

#include "core/base/address_func.h"

namespace pollengrade {

namespace {

constexpr std::array<key_rule, 17> rules{{
    {"node", "name", key_form::text, 1, 63, "", true, "", "",
     "Name of the node in logs and on the time line."},
    {"node", "interface", key_form::choice, 0, 0, "documents", false, "documents|routes", "",
     "What callers are served with: our own interface driven by service documents, or forwarding by routes."},
    {"node", "callers", key_form::text, 9, 21, "", true, "", "", "IPv4:port where callers are served."},
    {"node", "readiness", key_form::text, 0, 21, "", false, "", "",
     "IPv4:port where the balancer asks whether this node wants traffic; needed with interface = routes."},
    {"node", "operators", key_form::text, 9, 21, "", true, "", "",
     "IPv4:port of metrics, health, status and time line."},
    {"node", "peers", key_form::text, 9, 21, "", true, "", "", "IPv4:port where other nodes are served."},
    {"node", "failure_domain", key_form::text, 1, 63, "", true, "", "", "Failure domain of the VM."},
    {"node", "cpu_share", key_form::decimal, 0, 1024, "1", false, "", "cores",
     "Share of a core that the VM gives this process; nodes with more are preferred as holders of "
     "connections."},
    {"node", "cpu_speed", key_form::decimal, 0, 1024, "1", false, "", "",
     "How fast such a core is, relative to the others."},
    {"node", "grace_s", key_form::decimal, 1, 600, "10", false, "", "s",
     "Longest time from the signal to stop to the process's end."},
    {"node", "debug", key_form::text, 0, 200, "", false, "", "",
     "Subsystems whose debug lines are shown, separated by commas, or all."},
    {"platform", "address", key_form::text, 9, 21, "", true, "", "",
     "IPv4:port of the platform's object API."},
    {"cluster", "seeds", key_form::text, 0, 4096, "", false, "", "",
     "IPv4:port of some other nodes, separated by commas."},
    {"cluster", "peer_port", key_form::number, 0, 65535, "0", false, "", "",
     "Port of peers at the seeds, in place of those given there; 0 keeps those."},
    {"retries", "ratio", key_form::decimal, 0, 10, "0.2", false, "", "requests",
     "With interface = routes: hedges and retries of all nodes together for each needed request."},
    {"retries", "slack", key_form::decimal, 0, 1000000, "20", false, "", "requests",
     "With interface = routes: hedges and retries of all nodes together in a window besides."},
    {"retries", "window_s", key_form::decimal, 1, 3600, "10", false, "", "s",
     "Window over which ratio and slack are counted."},
}};

/**
 * Appends the addresses in a list separated by commas.
 * @param port in place of those in the list; 0 to keep them
 * @return false when one is not an address
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
    it.form = ini->text("node", "interface") == "routes" ? interface_form::routes : interface_form::documents;
    if (it.form == interface_form::routes)
        it.readiness = address("node", "readiness");
    constexpr double thousandths = 1000;
    it.capacity = static_cast<std::uint32_t>(ini->decimal("node", "cpu_share") *
                                             ini->decimal("node", "cpu_speed") * thousandths);
    it.grace = seconds_of(*ini, "node", "grace_s");
    it.budget.ratio = ini->decimal("retries", "ratio");
    it.budget.slack = ini->decimal("retries", "slack");
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
