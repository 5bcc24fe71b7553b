/** @file platform_client.h The platform's object API over HTTP. */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <libsoup/soup.h>
#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/base/id_type.h"
#include "core/base/metrics.h"
#include "core/queries/claim_type.h"
#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** The platform's kinds of objects that the project uses. */
enum class object_kind : std::uint8_t {
    service_document, ///< named by service
    shard_maps,       ///< named by service
    order_claim,      ///< named by claim
};

/** @return the kind's name in the object API. */
[[nodiscard]] std::string_view to_string(object_kind it);

/** One object. */
struct platform_object {
    std::string name;       ///< within its kind
    object_version version; ///< rises with every write of any object
    std::string value;      ///< at most a megabyte
};

/** Objects of one kind, as of one revision. */
struct object_list {
    object_version revision;              ///< the latest version covered
    std::vector<platform_object> objects; ///< all, or those changed since
};

/** One VM in the platform's list. */
struct vm_record {
    std::string address;     ///< where its server listens
    std::string incarnation; ///< changes with each restart
    bool leaving = false;    ///< whether it is about to stop
};

/** Calls to the object API. Every call ends in one call of its hook, in bounded time. */
class platform_client {
public:
    template <typename T> using done = std::function<void(tl::expected<T, store_error>)>;

    /**
     * @param clock the process's clock
     * @param log the time line
     * @param counts the counters
     * @param address "IPv4:port" of the platform
     */
    platform_client(loop_clock& clock, event_log& log, metrics& counts, const node_address& address);

    /** Reads one object. */
    void get(object_kind kind, const std::string& name, done<platform_object> hook);
    /** Writes one object if it is at @p expected; version 0 stands for "absent". */
    void put(object_kind kind, const std::string& name, std::string_view value, object_version expected,
             done<object_version> hook);
    /** Reads all objects of a kind. */
    void list(object_kind kind, done<object_list> hook);
    /** Waits for objects of a kind that changed after @p after; an empty list when none did for a while. */
    void watch(object_kind kind, object_version after, done<object_list> hook);
    /** Reads the list of VMs, which lags. */
    void vms(done<std::vector<vm_record>> hook);

    /** @return the claim calls that orders need. */
    [[nodiscard]] claim_store_hooks claim_hooks();

private:
    struct call;
    using raw_done = std::function<void(tl::expected<std::string, store_error>)>;

    void send(const char* method, const std::string& path, std::string_view body, duration limit,
              raw_done hook);
    static void on_reply(GObject* session, GAsyncResult* result, gpointer data);
    void note_reachable(bool reached);

    loop_clock& clock_;                ///< the process's clock
    event_log& log_;                   ///< the time line
    metrics& counts_;                  ///< the counters
    std::string base_;                 ///< "http://IPv4:port/v1"
    gobject_ptr<SoupSession> session_; ///< the connections
    bool reachable_ = true;            ///< whether the last call was answered
};

} // namespace pollengrade
