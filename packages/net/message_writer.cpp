/** @file message_writer.cpp Encodes start lines and header lines. */
#include "net/message_writer.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <string>
#include <utility>

#include <boost/beast/http/status.hpp>

namespace pollengrade {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_names{
    "Connection",          "Keep-Alive",       "Proxy-Authenticate",
    "Proxy-Authorization", "Proxy-Connection", "TE",
    "Transfer-Encoding",   "Trailer",          "Upgrade"};
constexpr std::string_view length_name = "Content-Length";
constexpr std::size_t reserved_header_bytes = 512;               ///< reserved in the output buffer ahead
constexpr std::size_t short_body_bytes = std::size_t{16} * 1024; ///< such a body is copied behind the head
constexpr unsigned no_content_status = 204;
constexpr unsigned not_modified_status = 304;

std::string_view trim(std::string_view text) {
    constexpr std::string_view space = " \t";
    const auto first = text.find_first_not_of(space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(space) - first + 1);
}

/** @return whether the comma-separated @p list contains @p name. */
bool list_contains(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (is_same_name(trim(list.substr(0, comma)), name))
            return true;
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

} // namespace

bool is_hop_by_hop(std::string_view name) {
    return std::any_of(hop_by_hop_names.begin(), hop_by_hop_names.end(),
                       [name](std::string_view it) { return is_same_name(it, name); });
}

void remove_hop_by_hop(message_fields& fields) {
    std::string listed;
    for (const message_field& it : fields) {
        if (is_same_name(it.name, "Connection"))
            listed += "," + it.value;
    }
    std::erase_if(fields, [&](const message_field& it) {
        return is_hop_by_hop(it.name) || is_same_name(it.name, length_name) ||
               (!listed.empty() && list_contains(listed, it.name));
    });
}

void append_field(std::string& buf, std::string_view name, std::string_view value) {
    buf.append(name).append(": ").append(value).append("\r\n");
}

encoded_reply encode_reply(reply_message message, bool keep_alive, bool allows_reply_body) {
    const bool is_short = message.body.size() <= short_body_bytes;
    encoded_reply reply;
    std::string& buf = reply.head;
    buf.reserve(reserved_header_bytes + (is_short ? message.body.size() : 0));
    const auto reason =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(message.status));
    buf.append("HTTP/1.1 ").append(std::to_string(message.status)).append(" ");
    buf.append(reason.data(), reason.size()).append("\r\n");
    for (const message_field& it : message.fields)
        append_field(buf, it.name, it.value);
    const bool has_no_body = message.status == no_content_status || message.status == not_modified_status;
    if (!has_no_body)
        append_field(buf, length_name, std::to_string(message.body.size()));
    if (!keep_alive)
        append_field(buf, "Connection", "close");
    buf.append("\r\n");
    if (allows_reply_body && !has_no_body) {
        if (is_short)
            buf.append(message.body);
        else
            reply.body = std::move(message.body);
    }
    return reply;
}

void append_request_header(std::string& buf, const request_message& message, std::size_t body_size) {
    buf.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
    for (const message_field& it : message.fields)
        append_field(buf, it.name, it.value);
    const bool has_length = body_size > 0 || message.method == "POST" || message.method == "PUT";
    if (has_length)
        append_field(buf, length_name, std::to_string(body_size));
}

} // namespace pollengrade
