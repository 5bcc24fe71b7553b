/** @file lone_node_test.cpp A node process that knows no other node has all duties itself. */
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "crowd/fleet.h"
#include "crowd/http_call.h"
#include "routes_text.h"

namespace pollengrade {

// CONFIG: with a gather among its routes, such a node had neither holders nor store watchers, and kept what
// it had read at its start: it refused every request for servers that registered later, and never followed a
// new version.
TEST_CASE("a node that knows no other one follows the store's servers and routes") {
    constexpr unsigned ok = 200;
    constexpr unsigned not_found = 404;
    fleet_options options;
    options.is_alone = true;
    fleet all{options};
    CHECK(call(all.callers(), "GET", path_of(route_kind::gather, 1) + "lone") == ok);
    for (std::uint64_t version = 2; version <= 3; ++version) {
        all.write_routes();
        std::this_thread::sleep_for(max_apply_time);
        CHECK(call(all.callers(), "GET", path_of(route_kind::versioned, version) + "lone") == ok);
        CHECK(call(all.callers(), "GET", path_of(route_kind::versioned, version - 1) + "lone") == not_found);
    }
}

} // namespace pollengrade
