/** @file upstream_network.h Carries the dispatcher's connections and requests out over HTTP. */
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/upstreams/dispatcher.h"
#include "net/client_connection.h"
#include "net/socket_poller.h"

namespace pollengrade {

/** How attempts look on the wire. */
struct upstream_codec {
    /** @return an attempt's bytes; the time left travels with it. */
    std::function<outgoing_request(const upstream_identity&, const attempt_request&, duration left)> encode;
    /** @return what a reply means for the attempt that it answers. */
    std::function<attempt_result(const attempt_request&, reply_message)> decode;
};

/** The network side of the dispatcher. */
class upstream_network {
public:
    /**
     * @param poller the loop's sockets
     * @param timers the clock
     * @param servers what takes events; outlives this object
     * @param codec how attempts look on the wire
     */
    upstream_network(socket_poller& poller, timer_queue& timers, dispatcher& servers, upstream_codec codec);

    /** @return hooks that call this object; to be given to the dispatcher. */
    [[nodiscard]] static transport_hooks hooks_of(std::unique_ptr<upstream_network>& network);

    [[nodiscard]] bool open(connection_id id, const upstream_address& address);
    void send(connection_id id, const upstream_identity& server, const attempt_request& request);
    void close(connection_id id);

private:
    /** One connection and the attempt on it. */
    struct link {
        std::unique_ptr<client_connection> connection;
        attempt_request request; ///< the open one, or the last
    };

    void on_replied(connection_id id, reply_message reply);
    void on_ended(connection_id id, connection_end why);
    void retire(link&& it);

    socket_poller& poller_;                                   ///< the loop's sockets
    timer_queue& timers_;                                     ///< the clock
    dispatcher& servers_;                                     ///< takes events
    upstream_codec codec_;                                    ///< how attempts look on the wire
    std::unordered_map<connection_id, link> links_;           ///< open, or being opened
    std::vector<std::unique_ptr<client_connection>> retired_; ///< destroyed at the loop's next turn
};

} // namespace pollengrade
