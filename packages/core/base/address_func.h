/** @file address_func.h Addresses as texts. */
#pragma once

#include <string_view>

namespace pollengrade {

/** @return whether @p text is a dotted IPv4 address, a colon and a port from 1 to 65535. */
[[nodiscard]] bool is_address(std::string_view text);

} // namespace pollengrade
