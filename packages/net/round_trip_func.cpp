/** @file round_trip_func.cpp Reads the round trip from a socket. */
#include "net/round_trip_func.h"

#include <limits>

// The kernel's header has fields that the C library's header of the same name lacks; both cannot be included.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace pollengrade {

duration round_trip_of(const unique_fd& fd) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(fd.get(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return duration{0};
    constexpr auto unmeasured = std::numeric_limits<decltype(info.tcpi_min_rtt)>::max();
    return info.tcpi_min_rtt == unmeasured ? duration{0} : duration{info.tcpi_min_rtt};
}

} // namespace pollengrade
