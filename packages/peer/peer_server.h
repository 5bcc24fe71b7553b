/** @file peer_server.h What this node answers to other nodes. */
#pragma once

#include <functional>
#include <vector>

#include <capnp/rpc-twoparty.h>
#include <glib.h>
#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/cluster/config_gossip.h"
#include "core/cluster/membership.h"
#include "core/cluster/registry_sync.h"
#include "core/queries/delegation.h"
#include "net/http_listener.h"
#include "net/unique_fd.h"
#include "peer/socket_stream.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** What a peer server needs of its node. */
struct peer_hooks {
    std::function<gossip_message(const gossip_message&)> on_probe; ///< takes a probe
    std::function<void(const node_address&, const membership_hooks::reach_done&)>
        probe_for; ///< probes a target
    /** @return all members but those whose fingerprints are given. */
    std::function<std::vector<member>(const std::vector<std::uint64_t>&)> members;
    std::function<void(const std::vector<config_entry>&)> on_push;         ///< takes objects
    std::function<pull_reply(const std::vector<config_version>&)> on_pull; ///< gives objects
    std::function<registry_update(object_version)> servers_after; ///< what a peer lacks of the registry
    /** Runs a query for a peer. @return an ID that withdraw_query takes */
    std::function<run_id(const delegated_request&, std::function<void(delegated_answer)>)> run_query;
    std::function<void(run_id)> withdraw_query; ///< the peer does not wait any more
};

/** Serves other nodes over Cap'n Proto RPC. */
class peer_server {
public:
    peer_server(loop_clock& clock, event_log& log, peer_hooks hooks);
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    peer_server(peer_server&&) = delete;
    peer_server& operator=(peer_server&&) = delete;
    ~peer_server();

    /** Starts to listen on "IPv4:port". */
    tl::expected<void, listen_error> listen(const node_address& address);

private:
    static gboolean on_connection(gint fd, GIOCondition condition, gpointer self);

    capnp::TwoPartyServer server_; ///< every connection
    unique_fd listener_{-1};       ///< the listening socket
    guint watch_ = 0;              ///< the listener's GLib source
};

} // namespace pollengrade
