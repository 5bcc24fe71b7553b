/** @file store_call.cpp Runs calls of the platform client until their result arrives. */
#include "ctl/store_call.h"

#include <functional>
#include <optional>

#include "ctl/call_loop.h"
#include "platform/platform_client.h"

namespace pollengrade {

namespace {

constexpr duration list_page_timeout =
    std::chrono::seconds{5}; ///< per page of a list; short because an operator waits for it

/** Starts one call and blocks until its result arrives. */
template <typename Result>
tl::expected<Result, store_error>
run_call(const std::string& platform,
         const std::function<void(platform_client&, platform_client::completion<Result>)>& start) {
    call_loop loop;
    event_log log{wall_now};
    metrics counts;
    platform_client client{loop.poller(), loop.timers(), log, counts, node_address{platform}};
    std::optional<tl::expected<Result, store_error>> result;
    start(client, [&](tl::expected<Result, store_error> it) {
        result = std::move(it);
        loop.quit();
    });
    loop.run();
    return std::move(*result);
}

} // namespace

tl::expected<stored_object, store_error> read_object(const std::string& platform, object_kind kind,
                                                     const std::string& name) {
    return run_call<stored_object>(
        platform, [&](platform_client& client, auto done) { client.get(kind, name, std::move(done)); });
}

tl::expected<object_version, store_error> write_object(const std::string& platform, object_kind kind,
                                                       const std::string& name, std::string_view content,
                                                       object_version expected) {
    return run_call<object_version>(platform, [&](platform_client& client, auto done) {
        client.put(kind, name, content, expected, std::move(done));
    });
}

tl::expected<object_list, store_error> read_objects(const std::string& platform, object_kind kind) {
    return run_call<object_list>(platform, [&](platform_client& client, auto done) {
        client.list(kind, list_page_timeout, false, std::move(done));
    });
}

} // namespace pollengrade
