/** @file operator_server.h Metrics, health, status and time line of a node over HTTP. */
#pragma once

#include <functional>
#include <map>
#include <string>

#include <libsoup/soup.h>
#include <tl/expected.hpp>

#include "core/base/id_type.h"
#include "http/caller_server.h"
#include "runtime/glib_ptr.h"

namespace pollengrade {

/** One page: its content type and what makes its content. */
struct operator_page {
    std::string content_type;             ///< of the content
    std::function<std::string()> content; ///< made anew for each request
};

/** Serves read-only pages. */
class operator_server {
public:
    /** @param pages by path, "/metrics" for instance */
    explicit operator_server(std::map<std::string, operator_page, std::less<>> pages);
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;
    operator_server(operator_server&&) = delete;
    operator_server& operator=(operator_server&&) = delete;
    ~operator_server();

    /** Starts to listen on "IPv4:port". */
    tl::expected<void, listen_error> listen(const node_address& address);

private:
    static void on_request(SoupServer* server, SoupServerMessage* message, const char* path,
                           GHashTable* query, gpointer self);

    std::map<std::string, operator_page, std::less<>> pages_; ///< by path
    gobject_ptr<SoupServer> server_;                          ///< the listener
};

} // namespace pollengrade
