/** @file route_decoder_test.cpp Numbers in the platform's routes: fractions, bounds and invalid values. */
#include <doctest/doctest.h>

#include <string>

#include "platform/route_decoder.h"

namespace pollengrade {

namespace {

/** Builds a routes document; each number is given as JSON text. */
struct routes_document {
    std::string timeout = "600";
    std::string target = "100";
    std::string connections = "26";
    std::string header_bytes = "8192";
    std::string weight = "1";

    [[nodiscard]] auto decode() const {
        return decode_routes(
            R"({"config-version": 3, "limits": {"max-header-bytes": )" + header_bytes +
            R"(, "max-body-bytes": 65536, "header-timeout-ms": 2000, "idle-timeout-ms": 9000},
            "services": [{"name": "desk", "max-connections": )" +
            connections + R"(}],
            "routes": [{"name": "r", "hostname": "a.example", "path-prefix": "/s/", "kind": "safe",
                        "timeout-ms": )" +
            timeout + R"(, "target-latency-ms": )" + target +
            R"(, "max-attempts": 2, "traffic-split": [{"service": "desk", "weight": )" + weight + "}]}]}");
    }
};

} // namespace

TEST_CASE("routes: times and limits may have fractions") {
    const auto it = routes_document{"600.5", "99.9", "10.26", "8192.7", "1"}.decode();
    REQUIRE(it.has_value());
    const route& decoded = (*it)->routes().front();
    CHECK(decoded.timeout == std::chrono::microseconds{600500});
    CHECK(decoded.target == std::chrono::microseconds{99900});
    CHECK((*it)->services().at(service_name{"desk"}).max_connections == 10);
    CHECK((*it)->limits().header_bytes == 8192);
    const auto fractional = routes_document{"600", "100", "0.4"}.decode();
    REQUIRE(fractional.has_value());
    CHECK((*fractional)->services().at(service_name{"desk"}).max_connections == 1);
}

TEST_CASE("routes: non-numeric, negative, zero and excessive values and fractional weights are rejected") {
    CHECK(routes_document{}.decode().has_value());
    CHECK_FALSE(routes_document{"-1"}.decode().has_value());
    CHECK_FALSE(routes_document{"\"600\""}.decode().has_value());
    CHECK_FALSE(routes_document{"1e300"}.decode().has_value());
    CHECK_FALSE(routes_document{"0.0001"}.decode().has_value()); // Truncated to 0 microseconds.
    CHECK_FALSE(routes_document{"600", "100", "0"}.decode().has_value());
    CHECK_FALSE(routes_document{"600", "100", "26", "8192", "0.5"}.decode().has_value());
}

} // namespace pollengrade
