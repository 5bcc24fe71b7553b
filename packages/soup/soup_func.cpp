/** @file soup_func.cpp Helper functions for libsoup. */
#include "soup/soup_func.h"

#include <cassert>
#include <cstdint>
#include <string>

namespace pollengrade {

std::string_view view_of(GBytes* bytes) {
    gsize size = 0;
    const void* data = g_bytes_get_data(bytes, &size);
    return {static_cast<const char*>(data), size};
}

gobject_ptr<SoupSession> make_session(std::uint32_t connections, guint idle_seconds) {
    const auto max_connections = static_cast<int>(connections);
    GObject* session = G_OBJECT(g_object_new(SOUP_TYPE_SESSION, "max-conns", max_connections,
                                             "max-conns-per-host", max_connections, "idle-timeout",
                                             idle_seconds, "timeout", 0, "proxy-resolver", nullptr, nullptr));
    gobject_ptr<SoupSession> it{SOUP_SESSION(session)};
    soup_session_remove_feature_by_type(it.get(), SOUP_TYPE_CONTENT_DECODER);
    soup_session_remove_feature_by_type(it.get(), SOUP_TYPE_AUTH_MANAGER);
    return it;
}

gobject_ptr<GSocketAddress> to_socket_address(std::string_view address) {
    const auto colon = address.find(':');
    assert(colon != std::string_view::npos);
    const std::string host{address.substr(0, colon)};
    const auto port = static_cast<guint>(std::stoul(std::string{address.substr(colon + 1)}));
    return gobject_ptr<GSocketAddress>{g_inet_socket_address_new_from_string(host.c_str(), port)};
}

} // namespace pollengrade
