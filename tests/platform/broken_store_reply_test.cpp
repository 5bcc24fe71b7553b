/** @file broken_store_reply_test.cpp What calls to the store report after a reply that says nothing of them.
 */
#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "platform/platform_client.h"
#include "support/scripted_server.h"

namespace pollengrade {

namespace {

/** Runs one call against a store that sends given bytes. @return its error; nullopt if it succeeded */
template <typename Result, typename Start>
std::optional<store_error> error_of_call(const std::string& bytes, const Start& start) {
    const loopback_listener listener;
    script_state at;
    const server_script script{bytes, "", server_end::closes, 1};
    std::thread server{[&] { serve_script(listener, script, at); }};
    loop_clock clock;
    socket_poller poller{clock};
    event_log log{[] { return wall_time{}; }};
    metrics counts;
    platform_client client{poller, clock.timers(), log, counts, node_address{listener.address()}};
    std::optional<tl::expected<Result, store_error>> result;
    start(client, [&result](tl::expected<Result, store_error> it) { result = std::move(it); });
    while (!result)
        g_main_context_iteration(nullptr, TRUE);
    server.join();
    return *result ? std::nullopt : std::optional{result->error()};
}

std::optional<store_error> error_of_write(const std::string& bytes) {
    return error_of_call<object_version>(bytes, [](platform_client& client, auto done) {
        client.put(object_kind::order_claim, "a", "{}", object_version{}, done);
    });
}

std::optional<store_error> error_of_read(const std::string& bytes) {
    return error_of_call<stored_object>(
        bytes, [](platform_client& client, auto done) { client.get(object_kind::order_claim, "a", done); });
}

std::optional<store_error> error_of_watch(const std::string& bytes) {
    return error_of_call<object_changes>(bytes, [](platform_client& client, auto done) {
        client.watch(object_kind::routes, object_version{1}, std::chrono::seconds{1}, std::chrono::seconds{1},
                     done);
    });
}

/** @return whether a call may be made again, with nothing known of the first one. */
bool tells_nothing(std::optional<store_error> it) {
    return it == store_error::reply_lost || it == store_error::unavailable;
}

std::string reply_with_status(const std::string& status) {
    return "HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\n{}";
}

} // namespace

TEST_CASE("a store's reply with a status that says nothing of the call was taken for a rejected call") {
    for (const std::string status :
         {"000", "099", "101", "202", "204", "206", "302", "304", "401", "403", "500", "502", "600", "700"}) {
        CAPTURE(status);
        CHECK(error_of_write(reply_with_status(status)) == store_error::reply_lost);
        CHECK(tells_nothing(error_of_read(reply_with_status(status))));
        CHECK(tells_nothing(error_of_watch(reply_with_status(status))));
    }
}

TEST_CASE("a store's reply with a broken head is no reply, and its write may have taken effect") {
    for (const std::string field : {"X A: b", "Content-Length : 2", "X-\x01: b", "Content-Length: 3"}) {
        CAPTURE(field);
        const std::string bytes = "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\n{}";
        CHECK(error_of_write(bytes) == store_error::reply_lost);
        CHECK(error_of_read(bytes) == store_error::unavailable);
        CHECK(error_of_watch(bytes) == store_error::unavailable);
    }
}

TEST_CASE("a store's reply with a status that says what became of the call is taken so") {
    CHECK(error_of_write(reply_with_status("400")) == store_error::malformed);
    CHECK(error_of_write(reply_with_status("409")) == store_error::conflict);
    CHECK(error_of_write(reply_with_status("404")) == store_error::absent);
    CHECK(error_of_write(reply_with_status("429")) == store_error::unavailable);
    CHECK(error_of_write(reply_with_status("503")) == store_error::unavailable);
    CHECK(error_of_read(reply_with_status("404")) == store_error::absent);
    CHECK(error_of_watch(reply_with_status("410")) == store_error::history_gone);
}

} // namespace pollengrade
