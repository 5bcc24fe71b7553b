/** @file http_call.h One blocking HTTP call of the command line. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace pollengrade {

/** Why a call brought no reply. */
enum class call_error : std::uint8_t {
    not_sent,   ///< the address was not reached
    reply_lost, ///< the call may have taken effect
};

/** A reply, whatever its status. */
struct call_reply {
    unsigned status = 0; ///< HTTP status
    std::string body;    ///< content
};

/** What to call. */
struct call_request {
    std::string method = "GET";                 ///< HTTP method
    std::string address;                        ///< "IPv4:port"
    std::string path;                           ///< with its query, escaped
    std::string body;                           ///< empty for none
    std::map<std::string, std::string> headers; ///< by name
    unsigned limit_seconds = 5;                 ///< after this the reply counts as lost
};

/** Makes a call and waits for its end. */
[[nodiscard]] tl::expected<call_reply, call_error> call(const call_request& request);

} // namespace pollengrade
