/** @file operator_server.cpp Operators' pages by libsoup. */
#include "http/operator_server.h"

#include <string_view>
#include <utility>

#include "http/http_func.h"

namespace pollengrade {

operator_server::operator_server(std::map<std::string, operator_page, std::less<>> pages)
    : pages_{std::move(pages)}, server_{SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, nullptr))} {
    soup_server_add_handler(server_.get(), nullptr, &operator_server::on_request, this, nullptr);
}

operator_server::~operator_server() {
    soup_server_disconnect(server_.get());
}

tl::expected<void, listen_error> operator_server::listen(const node_address& address) {
    const auto where = to_socket_address(address.value());
    GError* error = nullptr;
    soup_server_listen(server_.get(), where.get(), static_cast<SoupServerListenOptions>(0), &error);
    const gerror_ptr ec{error};
    if (ec)
        return tl::unexpected{listen_error::address_in_use_or_denied};
    return {};
}

void operator_server::on_request(SoupServer*, SoupServerMessage* message, const char* path, GHashTable*,
                                 gpointer self) {
    const auto* owner = static_cast<const operator_server*>(self);
    const auto it = owner->pages_.find(std::string_view{path});
    if (it == owner->pages_.end()) {
        soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND, nullptr);
        return;
    }
    if (std::string_view{soup_server_message_get_method(message)} != "GET") {
        soup_server_message_set_status(message, SOUP_STATUS_METHOD_NOT_ALLOWED, nullptr);
        return;
    }
    const std::string body = it->second.content();
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, it->second.content_type.c_str(), SOUP_MEMORY_COPY, body.data(),
                                     body.size());
}

} // namespace pollengrade
