/** @file query_codec_test.cpp Delegated queries and answers keep what servers stated on their way between
 * nodes. */
#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include <capnp/message.h>

#include "peer/peer_codec.h"

namespace pollengrade {

namespace {

using std::chrono::milliseconds;

/** @return an answer as another node reads it; nullopt if that node refuses it. */
std::optional<delegated_answer> try_round_trip(const delegated_answer& it) {
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::DelegatedAnswer>();
    write_answer(it, out);
    return read_answer(out.asReader());
}

delegated_answer round_trip(const delegated_answer& it) {
    return try_round_trip(it).value();
}

} // namespace

TEST_CASE("a holder's answer keeps which servers stated that they leave, and for how long") {
    delegated_answer it{refused_answer{}, object_version{7}, {}, false};
    it.departed = {{upstream_id{"i-1@5"}, milliseconds{20}}, {upstream_id{"i-2@6"}, milliseconds{0}}};
    const delegated_answer read = round_trip(it);
    REQUIRE(read.departed.size() == 2);
    CHECK(read.departed[0].id.value() == "i-1@5");
    CHECK(read.departed[0].age == milliseconds{20});
    CHECK(read.departed[1].id.value() == "i-2@6");
}

TEST_CASE(
    "of a peer's list of leaving servers, IDs that no server has and those beyond the bound are left out") {
    delegated_answer it{refused_answer{}, object_version{7}, {}, false};
    it.departed = {{upstream_id{""}, {}}, {upstream_id{std::string(5000, 'x')}, {}}};
    for (std::size_t n = 0; n < 2 * max_departures_told; ++n)
        it.departed.push_back({upstream_id{"i-" + std::to_string(n)}, milliseconds{1}});
    const delegated_answer read = round_trip(it);
    REQUIRE(read.departed.size() == max_departures_told);
    CHECK(read.departed.front().id.value() == "i-0");
}

TEST_CASE("a query to a holder keeps which servers leave, and the versions of routes") {
    delegated_request it;
    auto request = std::make_shared<forwarded_request>();
    request->message.method = "GET";
    request->message.target = "/search/1";
    it.request = request;
    it.left = milliseconds{100};
    it.least_version = object_version{7};
    it.routes_version = object_version{6};
    it.departed = {{upstream_id{"i-1@5"}, milliseconds{20}}};
    capnp::MallocMessageBuilder message;
    auto out = message.initRoot<wire::DelegatedRequest>();
    write_request(it, out);
    const auto read = read_request(out.asReader());
    REQUIRE(read);
    CHECK(read->least_version == object_version{7});
    CHECK(read->routes_version == object_version{6});
    REQUIRE(read->departed.size() == 1);
    CHECK(read->departed[0].id.value() == "i-1@5");
}

TEST_CASE("a peer's answer whose status is no final one was passed on") {
    for (const unsigned status : {0U, 99U, 100U, 101U, 103U, 600U, 999U, 65736U}) {
        CAPTURE(status);
        proxied_answer answer;
        answer.message.status = status;
        CHECK_FALSE(try_round_trip({answer, object_version{7}, {}, false}));
    }
    for (const unsigned status : {200U, 304U, 404U, 599U}) {
        proxied_answer answer;
        answer.message.status = status;
        CHECK(std::get<proxied_answer>(round_trip({answer, object_version{7}, {}, false}).answer)
                  .message.status == status);
    }
}

} // namespace pollengrade
