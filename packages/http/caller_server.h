/** @file caller_server.h Callers' requests over our own interface. */
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

/** Takes what a node's front door needs: submit a request, abandon it. */
struct caller_hooks {
    std::function<run_id(caller_request, answer_hook)> submit; ///< runs a request
    std::function<void(run_id)> abandon;                       ///< the caller is gone
    std::function<bool()> is_ready;                            ///< whether the balancer may send here
};

/**
 * Serves GET /v1/SERVICE/search, GET /v1/SERVICE/lookup, POST /v1/SERVICE/orders, /healthz and /readyz.
 * A request whose caller disconnects is abandoned.
 */
class caller_server {
public:
    /**
     * @param poller the loop's sockets
     * @param timers the clock
     * @param random for request IDs
     * @param hooks the node
     */
    caller_server(socket_poller& poller, timer_queue& timers, std::function<std::uint64_t()> random,
                  caller_hooks hooks);

    /** Starts to listen on "IPv4:port". */
    tl::expected<void, listen_error> listen(const node_address& address);
    /** @return the connections, for a graceful stop. */
    [[nodiscard]] http_listener& listener() noexcept { return listener_; }

private:
    void on_request(exchange_id id, const request_message& message);
    void run(exchange_id id, caller_request request);
    [[nodiscard]] tl::expected<caller_request, refusal_reason> read(const request_message& message,
                                                                    const decoded_target& target);
    [[nodiscard]] request_id make_request_id();

    std::function<std::uint64_t()> random_;        ///< for request IDs
    caller_hooks hooks_;                           ///< the node
    std::unordered_map<exchange_id, run_id> runs_; ///< of requests not answered yet
    http_listener listener_;                       ///< connections
};

} // namespace pollengrade
