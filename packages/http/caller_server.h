/** @file caller_server.h Callers' requests over HTTP. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include <libsoup/soup.h>
#include <tl/expected.hpp>

#include "core/queries/query_router.h"
#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** Why a server could not be started. */
enum class listen_error : std::uint8_t { address_in_use_or_denied };

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
    caller_server(loop_clock& clock, std::function<std::uint64_t()> random, caller_hooks hooks);
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(caller_server&&) = delete;
    ~caller_server();

    /** Starts to listen on "IPv4:port". */
    tl::expected<void, listen_error> listen(const node_address& address);
    /** @return exchanges whose answer has not been written in full. */
    [[nodiscard]] std::size_t open_exchanges() const noexcept { return open_; }
    /** Sets the hook that is called when the last open exchange ends. */
    void set_idle_hook(std::function<void()> hook) { idle_ = std::move(hook); }

private:
    struct exchange;

    static void on_early(SoupServer* server, SoupServerMessage* message, const char* path, GHashTable* query,
                         gpointer self);
    static void on_request(SoupServer* server, SoupServerMessage* message, const char* path,
                           GHashTable* query, gpointer self);
    static void on_finished(SoupServerMessage* message, gpointer data);
    void handle(SoupServerMessage* message, const std::string& path, GHashTable* query);
    void run(SoupServerMessage* message, caller_request request);
    [[nodiscard]] tl::expected<caller_request, refusal_reason>
    read(SoupServerMessage* message, const std::string& path, GHashTable* query);
    [[nodiscard]] request_id make_request_id();

    loop_clock& clock_;                     ///< the process's clock
    std::function<std::uint64_t()> random_; ///< for request IDs
    caller_hooks hooks_;                    ///< the node
    gobject_ptr<SoupServer> server_;        ///< the listener
    std::size_t open_ = 0;                  ///< see open_exchanges()
    std::function<void()> idle_;            ///< see set_idle_hook()
};

} // namespace pollengrade
