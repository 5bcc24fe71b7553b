/** @file round_trip_func.h Round trip of a TCP connection, as the kernel measures it. */
#pragma once

#include "core/base/time_type.h"
#include "net/unique_fd.h"

namespace pollengrade {

/**
 * @return the shortest round trip of the connection lately, which leaves out the peer's delayed
 * acknowledgements; zero if the kernel does not tell it
 */
[[nodiscard]] duration round_trip_of(const unique_fd& fd);

} // namespace pollengrade
