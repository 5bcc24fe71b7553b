/** @file upstream_client.h Exchanges with servers over HTTP. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include <libsoup/soup.h>

#include "core/base/id_type.h"
#include "core/upstreams/shard_type.h"
#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/**
 * The network side of the dispatcher: one session, and so one bounded pool of connections, for each server.
 * An exchange that is aborted closes its connection. An order goes out on a connection of its own and is
 * never sent again by the HTTP library.
 */
class upstream_client {
public:
    using completion = std::function<void(attempt_id, attempt_result)>;

    /**
     * @param clock the process's clock
     * @param connections the most connections to a server
     * @param done takes each exchange's result, unless it was aborted
     */
    upstream_client(loop_clock& clock, std::function<std::uint32_t(const upstream_address&)> connections,
                    completion done);
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;
    upstream_client(upstream_client&&) = delete;
    upstream_client& operator=(upstream_client&&) = delete;
    ~upstream_client();

    /** Starts an exchange. */
    void transmit(attempt_id id, const attempt_request& request);
    /** Ends an exchange; its completion is not called. */
    void abort(attempt_id id);

private:
    struct exchange;

    /** A server's pool of connections. */
    struct pool {
        gobject_ptr<SoupSession> session; ///< keeps at most limit connections
        std::uint32_t limit = 0;          ///< cannot be changed in a session
    };

    SoupSession* session_of(const upstream_address& address);
    static void on_reply(GObject* session, GAsyncResult* result, gpointer data);
    void finish(exchange& it, GBytes* body, const GError* ec);

    loop_clock& clock_;                                                   ///< the process's clock
    std::function<std::uint32_t(const upstream_address&)> connections_;   ///< connection limits
    completion done_;                                                     ///< takes results
    std::map<upstream_address, pool> pools_;                              ///< one for each server
    std::unordered_map<attempt_id, std::unique_ptr<exchange>> exchanges_; ///< in flight
};

} // namespace pollengrade
