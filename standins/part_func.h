/** @file part_func.h What a stand-in server replies to a forwarded request: fixed by request and service. */
#pragma once

#include <string>
#include <string_view>

namespace pollengrade {

/** @return records of 16 bytes, in no order, and a few bytes that are none; whoever knows both names can tell
 * them. */
[[nodiscard]] std::string part_of(std::string_view request, std::string_view service);

/** @return a server's proof that it made a reply: request, service and server, separated by dots. */
[[nodiscard]] std::string signature_of(std::string_view request, std::string_view service,
                                       std::string_view server);

} // namespace pollengrade
