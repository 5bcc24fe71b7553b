/** @file route_decoder_test.cpp Numbers of the platform's routes: fractions, limits, and what is no number.
 */
#include <doctest/doctest.h>

#include <string>

#include "platform/route_decoder.h"

namespace pollengrade {

namespace {

/** Routes whose numbers a test chooses, each as it stands in JSON. */
struct routes_text {
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
    const auto it = routes_text{"600.5", "99.9", "10.26", "8192.7", "1"}.decode();
    REQUIRE(it.has_value());
    const route& via = (*it)->routes().front();
    CHECK(via.timeout == std::chrono::microseconds{600500});
    CHECK(via.target == std::chrono::microseconds{99900});
    CHECK((*it)->services().at(service_name{"desk"}).max_connections == 10);
    CHECK((*it)->limits().header_bytes == 8192);
    const auto scarce = routes_text{"600", "100", "0.4"}.decode();
    REQUIRE(scarce.has_value());
    CHECK((*scarce)->services().at(service_name{"desk"}).max_connections == 1);
}

TEST_CASE("routes: what is no number, negative or beyond all bounds is not taken") {
    CHECK(routes_text{}.decode().has_value());
    CHECK_FALSE(routes_text{"-1"}.decode().has_value());
    CHECK_FALSE(routes_text{"\"600\""}.decode().has_value());
    CHECK_FALSE(routes_text{"1e300"}.decode().has_value());
    CHECK_FALSE(routes_text{"0.0001"}.decode().has_value()); // Below the clock's resolution it is zero.
    CHECK_FALSE(routes_text{"600", "100", "0"}.decode().has_value());
    CHECK_FALSE(routes_text{"600", "100", "26", "8192", "0.5"}.decode().has_value());
}

} // namespace pollengrade
