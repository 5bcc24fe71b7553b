/** @file operator_server.h Serves metrics, health, status and event log of a node over HTTP. */
#pragma once

#include <functional>
#include <map>
#include <string>

#include <tl/expected.hpp>

#include "core/base/id_type.h"
#include "net/http_listener.h"

namespace pollengrade {

/** A page: its content type and the function that creates its content. */
struct operator_page {
    std::string content_type;             ///< value of the Content-Type header
    std::function<std::string()> content; ///< called for each request
};

/** Serves read-only pages. */
class operator_server {
public:
    /**
     * @param poller polls the sockets on the event loop
     * @param timers schedules timeouts
     * @param memory bounds what the connections hold
     * @param counts counts connections closed for others
     * @param pages pages by path, such as "/metrics"
     */
    operator_server(socket_poller& poller, timer_queue& timers, caller_memory& memory, metrics& counts,
                    std::map<std::string, operator_page, std::less<>> pages);

    /** Starts listening on "IPv4:port". */
    tl::expected<void, listen_error> listen(const node_address& address);

private:
    [[nodiscard]] reply_message reply_to(const request_message& message) const;

    std::map<std::string, operator_page, std::less<>> pages_; ///< pages by path
    http_listener listener_;                                  ///< operators' connections
};

} // namespace pollengrade
