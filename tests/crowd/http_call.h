/** @file http_call.h One blocking HTTP call of a test. */
#pragma once

#include <optional>
#include <string>

namespace pollengrade {

/** @return the lines of a caller's request: its ID, and how long the caller waits. */
[[nodiscard]] std::string caller_lines(const std::string& id);

/**
 * Sends one request on a new connection and reads the whole reply; waits for five seconds at most, as stated
 * in the request.
 * @return the reply's status; nullopt if no complete reply came
 */
[[nodiscard]] std::optional<unsigned> call(const std::string& address, const std::string& method,
                                           const std::string& path, const std::string& body = {});

} // namespace pollengrade
