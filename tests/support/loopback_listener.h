/** @file loopback_listener.h A listening socket on loopback at a port chosen by the kernel. */
#pragma once

#include <string>

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/socket_func.h"

namespace pollengrade {

/** Accepts the single connection of a test's server. */
class loopback_listener {
public:
    loopback_listener() : listener_{listen_at("127.0.0.1:0")} {
        REQUIRE(listener_.is_valid());
        sockaddr_in at{};
        socklen_t size = sizeof(at);
        // NOLINTNEXTLINE(*-reinterpret-cast): required by the socket API
        REQUIRE(::getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&at), &size) == 0);
        address_ = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    }

    [[nodiscard]] const std::string& address() const noexcept { return address_; }

    /** Waits up to a second for the connection. @return its socket; invalid if none arrived */
    [[nodiscard]] unique_fd accept() const {
        int fd = -1;
        for (int n = 0; n < 1000 && fd < 0; ++n) {
            fd = ::accept(listener_.get(), nullptr, nullptr);
            if (fd < 0)
                ::usleep(1000);
        }
        return unique_fd{fd};
    }

private:
    unique_fd listener_;  ///< the listening socket, non-blocking
    std::string address_; ///< see address()
};

} // namespace pollengrade
