/** @file peer_client.h Calls to other nodes. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include <kj/async.h>

#include "core/base/event_log.h"
#include "core/cluster/config_gossip.h"
#include "core/cluster/membership.h"
#include "core/cluster/registry_sync.h"
#include "core/queries/delegation.h"
#include "peer/peer.capnp.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/**
 * Calls other nodes over Cap'n Proto RPC. Each call takes a connection of its own, so that a connection gone
 * silent can cost one call only; each ends in one call of its hook, in bounded time.
 */
class peer_client : private kj::TaskSet::ErrorHandler {
public:
    /** @param clock the process's clock. @param log the time line, whose clock travels with probes */
    peer_client(loop_clock& clock, event_log& log);

    void probe(const node_address& to, const gossip_message& word, const membership_hooks::probe_done& done);
    void probe_through(const node_address& via, const node_address& target,
                       const membership_hooks::reach_done& done);
    void list(const node_address& from, const std::vector<std::uint64_t>& known,
              const membership_hooks::list_done& done);
    void push(const node_address& to, const std::vector<config_entry>& entries);
    void pull(const node_address& from, const std::vector<config_version>& known,
              const config_gossip_hooks::pulled& done);
    void servers(const node_address& from, object_version later_than,
                 const registry_sync_hooks::pulled& done);
    /** Opens a call to a holder; see delegation_hooks::open. */
    void forward(delegation_call id, const node_address& to, duration limit,
                 const std::function<delegated_request()>& shown,
                 std::function<void(std::optional<delegated_answer>)> done);
    /** Withdraws a query. */
    void cancel(delegation_call id);

private:
    template <typename Result>
    void call(const node_address& to, duration limit,
              std::function<kj::Promise<std::optional<Result>>(wire::Peer::Client&)> ask,
              std::function<void(std::optional<Result>)> done);
    void taskFailed(kj::Exception&& failure) override;

    loop_clock& clock_;                                                          ///< the process's clock
    event_log& log_;                                                             ///< the time line
    std::map<delegation_call, kj::Own<kj::PromiseFulfiller<void>>> withdrawals_; ///< of queries at holders
    kj::TaskSet tasks_;                                                          ///< calls in flight
};

} // namespace pollengrade
