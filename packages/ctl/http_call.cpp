/** @file http_call.cpp Blocking calls by libsoup. */
#include "ctl/http_call.h"

#include <libsoup/soup.h>

#include "http/http_func.h"
#include "runtime/glib_ptr.h"

namespace pollengrade {

tl::expected<call_reply, call_error> call(const call_request& request) {
    const auto session = make_session(1, 1);
    g_object_set(session.get(), "timeout", request.limit_seconds, nullptr);
    const std::string uri = "http://" + request.address + request.path;
    const gobject_ptr<SoupMessage> message{soup_message_new(request.method.c_str(), uri.c_str())};
    if (!message)
        return tl::unexpected{call_error::not_sent};
    soup_message_set_flags(message.get(), SOUP_MESSAGE_NO_REDIRECT);
    for (const auto& [name, value] : request.headers)
        soup_message_headers_append(soup_message_get_request_headers(message.get()), name.c_str(),
                                    value.c_str());
    if (!request.body.empty()) {
        const gbytes_ptr bytes{g_bytes_new(request.body.data(), request.body.size())};
        soup_message_set_request_body_from_bytes(message.get(), "application/octet-stream", bytes.get());
    }
    bool started = false;
    g_signal_connect(message.get(), "starting",
                     G_CALLBACK(+[](SoupMessage*, gpointer data) { *static_cast<bool*>(data) = true; }),
                     &started);
    GError* error = nullptr;
    const gbytes_ptr body{soup_session_send_and_read(session.get(), message.get(), nullptr, &error)};
    const gerror_ptr ec{error};
    if (ec)
        return tl::unexpected{started ? call_error::reply_lost : call_error::not_sent};
    return call_reply{soup_message_get_status(message.get()), std::string{view_of(body.get())}};
}

} // namespace pollengrade
