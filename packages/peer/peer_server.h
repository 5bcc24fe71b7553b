/** @file peer_server.h RPC server for calls from other nodes. */
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

/** Operations of the node that a peer server calls. */
struct peer_hooks {
    std::function<gossip_message(const gossip_message&)> on_probe; ///< handles a probe, returns the reply
    /** Probes a target for a peer. */
    std::function<void(const node_address&, const membership_hooks::reach_done&)> on_probe_through;
    /** @return all members except those whose fingerprints are given. */
    std::function<std::vector<member>(const std::vector<std::uint64_t>&)> members;
    std::function<void(const std::vector<config_entry>&)> on_push;         ///< receives configuration objects
    std::function<pull_reply(const std::vector<config_version>&)> on_pull; ///< returns newer objects
    std::function<registry_update(object_version)> registry_changes; ///< registry changes after a revision
    /** Runs a query for a peer. @return an ID that cancel_query takes */
    std::function<run_id(const delegated_request&, std::function<void(delegated_answer)>)> run_query;
    std::function<void(run_id)> cancel_query; ///< cancels a query whose peer no longer waits
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

    /** Starts listening on "IPv4:port". */
    tl::expected<void, listen_error> listen(const node_address& address);

private:
    static gboolean on_connection(gint fd, GIOCondition condition, gpointer self);

    capnp::TwoPartyServer server_; ///< RPC server over all connections
    unique_fd listener_{-1};       ///< the listening socket
    guint watch_ = 0;              ///< GLib source of the listening socket; 0 if not listening
};

} // namespace pollengrade
