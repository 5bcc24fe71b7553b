/** @file front.h What a node serves callers with: our own interface, or the users' routes. */
#pragma once

#include <functional>
#include <span>
#include <vector>

#include <tl/expected.hpp>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/cluster/member_type.h"
#include "core/config/config_store.h"
#include "core/config/server_entry.h"
#include "core/queries/delegation.h"
#include "net/http_listener.h"
#include "json/json_view.h"

namespace pollengrade {

/** One interface towards callers. */
class front {
public:
    front() = default;
    front(const front&) = delete;
    front& operator=(const front&) = delete;
    front(front&&) = delete;
    front& operator=(front&&) = delete;
    virtual ~front() = default;

    /** Starts to listen. */
    virtual tl::expected<void, listen_error> listen() = 0;
    /** Puts a configuration object in force. @return false when its text is wrong */
    virtual bool apply(const config_entry& entry) = 0;
    /** Takes a change of the registry. */
    virtual void on_server(const server_entry& entry, bool removed) = 0;
    /** Takes the running nodes, this one included. */
    virtual void on_nodes(std::span<const member> nodes) = 0;
    /** @return whether only some nodes wait for changes in the platform's store, and tell the others. */
    [[nodiscard]] virtual bool is_divided() const = 0;
    /** @return those that do; empty when all do. */
    [[nodiscard]] virtual std::vector<node_address> store_watchers() const = 0;
    /** @return whether this node is one of them. */
    [[nodiscard]] virtual bool is_store_watcher() const = 0;
    /** Runs another node's query. @return an ID that withdraw_query() takes */
    virtual run_id run_query(const delegated_request& request,
                             std::function<void(delegated_answer)> respond) = 0;
    /** The other node does not wait any more. */
    virtual void withdraw_query(run_id id) = 0;
    /** All that is needed to serve is held. */
    virtual void set_ready() = 0;
    /** @return whether the balancer may send here. */
    [[nodiscard]] virtual bool is_ready() const = 0;
    /** From now on not ready, and no connection is kept after its reply; requests are still served. */
    virtual void start_leaving() = 0;
    /** Ends once nothing runs any more. @param done called then, once */
    virtual void stop(std::function<void()> done) = 0;
    /** Adds what operators see. */
    virtual void describe(json_writer& out) const = 0;
    /** @return requests running now. */
    [[nodiscard]] virtual std::size_t running() const = 0;
};

} // namespace pollengrade
