/** @file caller_server.h HTTP server for callers' requests over Pollengrade's own interface. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

#include <tl/expected.hpp>

#include "core/queries/query_router.h"
#include "http/uri_func.h"
#include "net/http_listener.h"

namespace pollengrade {

/** Operations of the node that a caller server calls. */
struct caller_hooks {
    std::function<run_id(caller_request, answer_hook)> submit; ///< runs a request
    std::function<void(run_id)> abandon; ///< abandons a request whose caller disconnected
    std::function<bool()> is_ready;      ///< whether a load balancer may send requests to this node
};

/**
 * Serves GET /v1/SERVICE/search, GET /v1/SERVICE/lookup, POST /v1/SERVICE/orders, /healthz and /readyz.
 * A request whose caller disconnects is abandoned.
 */
class caller_server {
public:
    /**
     * @param poller polls the sockets on the event loop
     * @param timers schedules timeouts
     * @param memory bounds what the connections hold
     * @param counts counts connections closed for others
     * @param random random numbers for request IDs
     * @param hooks the node's operations
     */
    caller_server(socket_poller& poller, timer_queue& timers, caller_memory& memory, metrics& counts,
                  std::function<std::uint64_t()> random, caller_hooks hooks);

    /** Starts listening on "IPv4:port". */
    tl::expected<void, listen_error> listen(const node_address& address);
    /** @return the listener and its connections, for a graceful stop. */
    [[nodiscard]] http_listener& listener() noexcept { return listener_; }

private:
    void on_request(exchange_id id, const request_message& message);
    void run(exchange_id id, caller_request request);
    [[nodiscard]] tl::expected<caller_request, refusal_reason> read(const request_message& message,
                                                                    const decoded_target& target);
    [[nodiscard]] request_id make_request_id();

    std::function<std::uint64_t()> random_;        ///< random numbers for request IDs
    caller_hooks hooks_;                           ///< the node's operations
    std::unordered_map<exchange_id, run_id> runs_; ///< runs of requests that are not yet answered
    http_listener listener_;                       ///< callers' connections
};

} // namespace pollengrade
