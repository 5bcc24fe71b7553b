/** @file restored_store_test.cpp Objects of a store that came back from a copy and gives revisions out again.
 */
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "core/config/config_store.h"
#include "platform/object_decoder.h"

namespace pollengrade {

namespace {

/** @return the store's JSON of the routes. */
std::string routes_object(int config_version, int revision) {
    return R"({"meta": {"name": "main", "revision": )" + std::to_string(revision) +
           R"(}, "spec": {"config-version": )" + std::to_string(config_version) + "}}";
}

stored_object routes_of(int config_version, int revision, std::uint64_t era) {
    return decode_object(object_kind::routes, routes_object(config_version, revision), era).value();
}

/** A store of configuration that notes what it puts in force. */
struct noting_store {
    offer_result offer(const stored_object& it) {
        return store.offer({{config_kind::routes, it.name}, it.version, std::get<std::string>(it.content)});
    }

    std::vector<std::string> in_force;
    config_store store{[this](const config_entry& it) {
        in_force.push_back(it.text);
        return true;
    }};
};

} // namespace

TEST_CASE("routes acknowledged after the store came back from a copy are in force although their revision is "
          "lower") {
    noting_store it;
    it.offer(routes_of(6, 40, 1));
    it.offer(routes_of(9, 45, 1));
    CHECK(it.offer(routes_of(6, 40, 2)) == offer_result::stale);
    CHECK(it.offer(routes_of(11, 43, 2)) == offer_result::accepted);
    CHECK(it.in_force.size() == 3);
}

} // namespace pollengrade
