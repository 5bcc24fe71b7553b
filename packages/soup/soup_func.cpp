/** @file soup_func.cpp Small helpers over libsoup. */
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
    const auto most = static_cast<int>(connections);
    GObject* session = G_OBJECT(g_object_new(SOUP_TYPE_SESSION, "max-conns", most, "max-conns-per-host", most,
                                             "idle-timeout", idle_seconds, "timeout", 0, "proxy-resolver",
                                             nullptr, nullptr));
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
