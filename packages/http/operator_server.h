/** @file operator_server.h Metrics, health, status and time line of a node over HTTP. */
#pragma once

#include <functional>
#include <map>
#include <string>

#include <tl/expected.hpp>

#include "core/base/id_type.h"
#include "net/http_listener.h"

namespace pollengrade {

/** One page: its content type and what makes its content. */
struct operator_page {
    std::string content_type;             ///< of the content
    std::function<std::string()> content; ///< made anew for each request
};

/** Serves read-only pages. */
class operator_server {
public:
    /**
     * @param poller the loop's sockets
     * @param timers the clock
     * @param pages by path, "/metrics" for instance
     */
    operator_server(socket_poller& poller, timer_queue& timers,
                    std::map<std::string, operator_page, std::less<>> pages);

    /** Starts to listen on "IPv4:port". */
    tl::expected<void, listen_error> listen(const node_address& address);

private:
    [[nodiscard]] reply_message reply_to(const request_message& message) const;

    std::map<std::string, operator_page, std::less<>> pages_; ///< by path
    http_listener listener_;                                  ///< connections
};

} // namespace pollengrade
