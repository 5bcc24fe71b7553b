/** @file http_call.h Blocking HTTP calls. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace pollengrade {

/** Why a call failed without a reply. */
enum class call_error : std::uint8_t {
    not_sent,   ///< nothing was written, for example because the connection failed
    reply_lost, ///< the request was written at least in part, so the call may have taken effect
};

/** A reply with any HTTP status. */
struct call_reply {
    unsigned status = 0; ///< HTTP status
    std::string body;    ///< content
};

/** An HTTP request to send. */
struct call_request {
    std::string method = "GET";                 ///< HTTP method
    std::string address;                        ///< "IPv4:port"
    std::string path;                           ///< path and query string, percent-encoded
    std::string body;                           ///< empty for none
    std::map<std::string, std::string> headers; ///< by name
    unsigned timeout_seconds = 5;               ///< timeout of the whole call
};

/** Sends a request and blocks until the reply, an error or the timeout. */
[[nodiscard]] tl::expected<call_reply, call_error> call(const call_request& request);

} // namespace pollengrade
