/** @file upstream_network.h HTTP transport for the dispatcher's connections and requests. */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/upstreams/dispatcher.h"
#include "core/upstreams/reply_memory.h"
#include "net/client_connection.h"
#include "net/socket_poller.h"

namespace pollengrade {

/** Encodes and decodes attempts. */
struct upstream_codec {
    /** @return an encoded attempt, which includes the time left until its deadline. */
    std::function<outgoing_request(const upstream_identity&, const attempt_request&, duration left)> encode;
    /** @return the result of an attempt, decoded from its reply. */
    std::function<attempt_result(const attempt_request&, reply_message)> decode;
    /** @return the request rate that a reply states for its server. */
    std::function<rate_statement(const reply_message&)> read_rate;
    /** @return the pause that a reply asks for on behalf of its server. */
    std::function<pause_statement(const reply_message&)> read_pause;
    /** @return whether a reply states that its server is leaving. */
    std::function<bool(const reply_message&)> states_leaving;
};

/** The transport of the dispatcher. */
class upstream_network {
public:
    /**
     * @param poller watches the sockets
     * @param timers for deferred destruction and the time
     * @param servers receives events; must outlive this object
     * @param replies bounds the bytes of unfinished replies; its hooks are replies_hooks_of()
     * @param codec encodes and decodes attempts
     * @param source IPv4 address to connect from; empty to let the system choose
     */
    upstream_network(socket_poller& poller, timer_queue& timers, dispatcher& servers, reply_memory& replies,
                     upstream_codec codec, std::string source);

    /** @return hooks that call this object; to be given to the dispatcher. */
    [[nodiscard]] static transport_hooks hooks_of(std::unique_ptr<upstream_network>& network);

    /** @return hooks that call this object; to be given to the object that bounds the replies. */
    [[nodiscard]] static reply_memory_hooks replies_hooks_of(std::unique_ptr<upstream_network>& network);

    [[nodiscard]] bool open(connection_id id, const upstream_address& address);
    void send(connection_id id, const upstream_identity& server, const attempt_request& request);
    void close(connection_id id);

private:
    /** A connection and its attempt. */
    struct link {
        std::unique_ptr<client_connection> connection;
        attempt_request request; ///< the open attempt, or the last one
    };

    void on_replied(connection_id id, reply_message reply);
    void on_ended(connection_id id, connection_end why);
    void give_up(connection_id id);
    void retire(link&& it);

    socket_poller& poller_;                                   ///< watches the sockets
    timer_queue& timers_;                                     ///< for deferred destruction and the time
    dispatcher& servers_;                                     ///< receives events
    reply_memory& replies_;                                   ///< bounds the bytes of unfinished replies
    upstream_codec codec_;                                    ///< encodes and decodes attempts
    std::string source_;                                      ///< see upstream_network()
    std::unordered_map<connection_id, link> links_;           ///< connections that are open or being opened
    std::vector<std::unique_ptr<client_connection>> retired_; ///< closed, destroyed in the next iteration
};

} // namespace pollengrade
