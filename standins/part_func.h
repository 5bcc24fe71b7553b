/** @file part_func.h Replies of a stand-in server to a forwarded request; they depend only on the request and
 * the service. */
#pragma once

#include <string>
#include <string_view>

namespace pollengrade {

/** @return the reply's body: unsorted records of 16 bytes and a few trailing bytes that form no record. The
 * caller of the service can compute the same bytes to check a reply. */
[[nodiscard]] std::string part_of(std::string_view request, std::string_view service);

/** @return the signature of a server's reply: request, service and server, separated by dots. */
[[nodiscard]] std::string signature_of(std::string_view request, std::string_view service,
                                       std::string_view server);

} // namespace pollengrade
