/** @file loopback_listener.h A listening socket on loopback at a port chosen by the kernel. */
#pragma once

#include <string>

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/socket_func.h"

namespace pollengrade {

/** Accepts the connections of a test's server. */
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

    /** @return the socket of a connection that has arrived; invalid if none has */
    [[nodiscard]] unique_fd try_accept() const {
        return unique_fd{::accept(listener_.get(), nullptr, nullptr)};
    }

    /** Waits up to a second for the connection. @return its socket; invalid if none arrived */
    [[nodiscard]] unique_fd accept() const {
        unique_fd fd = try_accept();
        for (int n = 0; n < 1000 && !fd.is_valid(); ++n) {
            ::usleep(1000);
            fd = try_accept();
        }
        return fd;
    }

private:
    unique_fd listener_;  ///< the listening socket, non-blocking
    std::string address_; ///< see address()
};

} // namespace pollengrade
