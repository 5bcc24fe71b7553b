/** @file crowd.cpp Clients on non-blocking sockets, served in turns. */
#include "crowd.h"

#include <array>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

#include "net/socket_func.h"

namespace pollengrade {

namespace {

constexpr int receive_buffer_bytes = 4096; ///< small, so that the bytes that are not read stay at the server

} // namespace

crowd::crowd(std::string address, std::size_t size, crowd_behaviour behaviour)
    : address_{std::move(address)}, behaviour_{std::move(behaviour)}, clients_(size) {
    open_closed();
}

void crowd::open_closed() {
    std::size_t left = behaviour_.opened_per_turn;
    for (client& it : clients_) {
        if (left > 0 && !it.fd.is_valid()) {
            open(it);
            --left;
        }
    }
}

void crowd::open(client& it) {
    it.fd = start_connect(address_, slow_keepalive_limits());
    ::setsockopt(it.fd.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    it.bytes = behaviour_.bytes ? behaviour_.bytes(opened_) : std::string{};
    it.sent = 0;
    ++opened_;
}

void crowd::take_turns() {
    for (client& it : clients_) {
        if (it.fd.is_valid() && !take_turn(it))
            it.fd = unique_fd{};
    }
    open_closed();
}

bool crowd::take_turn(client& it) const {
    pollfd events{it.fd.get(), POLLOUT | POLLRDHUP, 0};
    if (::poll(&events, 1, 0) < 0 || (events.revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0)
        return false;
    const bool is_connected = (events.revents & POLLOUT) != 0 || it.sent > 0;
    return !is_connected || (send_some(it) && read_some(it));
}

bool crowd::send_some(client& it) const {
    while (it.sent < it.bytes.size()) {
        const std::size_t left = it.bytes.size() - it.sent;
        const bool trickles = left <= behaviour_.trickled;
        const std::size_t count = trickles ? 1 : left - behaviour_.trickled;
        const ssize_t n = ::send(it.fd.get(), it.bytes.data() + it.sent, count, MSG_NOSIGNAL);
        if (n < 0)
            return would_block();
        it.sent += static_cast<std::size_t>(n);
        if (trickles)
            return true;
    }
    return true;
}

bool crowd::read_some(const client& it) const {
    std::array<char, 65536> buf{};
    if (behaviour_.read_bytes == 0)
        return true;
    const ssize_t n = ::recv(it.fd.get(), buf.data(), std::min(behaviour_.read_bytes, buf.size()), 0);
    return n > 0 || (n < 0 && would_block());
}

} // namespace pollengrade
