/** @file settings_test.cpp Invalid settings are rejected as a whole, with errors that name group, key and
 * line. */
#include <doctest/doctest.h>

#include <string>

#include "core/config/node_settings.h"
#include "core/config/service_document.h"

namespace pollengrade {

namespace {

settings_error first_error(const std::string& text) {
    const auto document = parse_service_document(text);
    REQUIRE_FALSE(document.has_value());
    return document.error().front();
}

} // namespace

TEST_CASE("a valid document has the given values and defaults for absent keys") {
    const auto it =
        parse_service_document("[service]\nname = desk\nprefer = tail\n[limits]\nslots_per_server = 3\n");
    REQUIRE(it.has_value());
    CHECK(it->preference == answer_preference::tail);
    CHECK(it->slots_per_server == 3);
    CHECK(it->default_deadline == std::chrono::milliseconds{380});
}

TEST_CASE("wrong groups, keys and values are reported with their error codes and line numbers") {
    settings_error it = first_error("[service]\nname = desk\n\ncolour = red\n");
    CHECK(it.code == settings_error_code::unknown_key);
    CHECK(it.key == "colour");
    CHECK(it.line == 4);
    it = first_error("[service]\nname = desk\nname = desk\n");
    CHECK(it.code == settings_error_code::duplicate);
    CHECK(it.line == 3);
    it = first_error("[service]\nprefer = tail\n");
    CHECK(it.code == settings_error_code::missing_key);
    it = first_error("[service]\nname = desk\n[limits]\nslots_per_server = 0\n");
    CHECK(it.code == settings_error_code::out_of_range);
    CHECK(it.line == 4);
    it = first_error("[service]\nname = desk\n[limits]\nslots_per_server = many\n");
    CHECK(it.code == settings_error_code::not_a_number);
    it = first_error("[service]\nname = desk\nprefer = both\n");
    CHECK(it.code == settings_error_code::not_a_choice);
    it = first_error("[srevice]\nname = desk\n");
    CHECK(it.code == settings_error_code::unknown_group);
    CHECK(it.line == 1);
    it = first_error("name = desk\n");
    CHECK(it.code == settings_error_code::unknown_group);
    it = first_error(std::string(max_settings_bytes + 1, '#'));
    CHECK(it.code == settings_error_code::too_long);
    it = first_error("[service]\nname = desk\ndeadline_ms = 500\nmax_deadline_ms = 400\n");
    CHECK(it.code == settings_error_code::inconsistent);
}

TEST_CASE("node settings accept only IPv4 addresses") {
    const std::string base = "[node]\nname = n\noperators = 127.0.0.1:2\npeers = 127.0.0.1:3\n"
                             "failure_domain = d\n[platform]\naddress = 127.0.0.1:4\n";
    CHECK(parse_node_settings(base + "[cluster]\nseeds = 127.0.0.1:5, 127.0.0.1:6\n").has_value() == false);
    const std::string whole = "[node]\ncallers = 127.0.0.1:1\n" + base.substr(7);
    REQUIRE(parse_node_settings(whole + "[cluster]\nseeds = 127.0.0.1:5, 127.0.0.1:6\n").has_value());
    CHECK_FALSE(parse_node_settings(whole + "[cluster]\nseeds = localhost:5\n").has_value());
    CHECK_FALSE(parse_node_settings("[node]\ncallers = 127.0.0.256:1\n" + base.substr(7)).has_value());
    CHECK(parse_node_settings("[node]\nsource = 127.0.0.9\n" + whole.substr(7)).value().source ==
          "127.0.0.9");
    CHECK_FALSE(parse_node_settings("[node]\nsource = eth0\n" + whole.substr(7)).has_value());
    CHECK_FALSE(parse_node_settings("[node]\nsource = 127.0.0.9:1\n" + whole.substr(7)).has_value());
}

TEST_CASE("the memory of a node is at least that of a few large replies") {
    const std::string base = "[platform]\naddress = 127.0.0.1:4\n[node]\ncallers = 127.0.0.1:1\nname = n\n"
                             "operators = 127.0.0.1:2\npeers = 127.0.0.1:3\nfailure_domain = d\n";
    CHECK(parse_node_settings(base).value().memory == 256'000'000);
    CHECK(parse_node_settings(base + "memory_mb = 160\n").value().memory == 160'000'000);
    for (const char* value : {"31", "0", "-1", "much", "", "inf"})
        CHECK_FALSE(parse_node_settings(base + "memory_mb = " + value + "\n").has_value());
}

TEST_CASE("retry limits may be fractions, as for one share of a larger deployment's limits") {
    const std::string base = "[node]\ncallers = 127.0.0.1:1\nname = n\noperators = 127.0.0.1:2\n"
                             "peers = 127.0.0.1:3\nfailure_domain = d\n[platform]\naddress = 127.0.0.1:4\n";
    const auto it = parse_node_settings(base + "[retries]\nslack = 33.157894736842104\nratio = 0.2\n");
    REQUIRE(it.has_value());
    CHECK(it->budget.slack == doctest::Approx(33.157894736842104));
    CHECK_FALSE(parse_node_settings(base + "[retries]\nslack = -0.5\n").has_value());
    CHECK_FALSE(parse_node_settings(base + "[retries]\nslack = some\n").has_value());
}

} // namespace pollengrade
