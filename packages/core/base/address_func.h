/** @file address_func.h Validation of IPv4 socket addresses in text form. */
#pragma once

#include <string_view>

namespace pollengrade {

/** @return whether @p text is a dotted-decimal IPv4 address, a colon and a port from 1 to 65535. */
[[nodiscard]] bool is_address(std::string_view text);

} // namespace pollengrade
