/** @file socket_func.cpp TCP sockets through system calls. */
#include "net/socket_func.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace pollengrade {

namespace {

constexpr int listen_backlog = 512; ///< connections waiting to be accepted

sockaddr_in to_sockaddr(std::string_view address) {
    const auto colon = address.find(':');
    sockaddr_in it{};
    it.sin_family = AF_INET;
    const std::string_view port = address.substr(colon + 1);
    std::uint16_t number = 0;
    std::from_chars(port.data(), port.data() + port.size(), number);
    it.sin_port = htons(number);
    inet_pton(AF_INET, std::string{address.substr(0, colon)}.c_str(), &it.sin_addr);
    return it;
}

const sockaddr* generic(const sockaddr_in& it) {
    return reinterpret_cast<const sockaddr*>(&it); // NOLINT(*-reinterpret-cast): required by the socket API
}

unique_fd make_socket() {
    return unique_fd{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
}

void set_option(const unique_fd& fd, int level, int option, int value) {
    // Errors are ignored: the default of an unsupported option is slower, but correct.
    ::setsockopt(fd.get(), level, option, &value, sizeof value);
}

void set_limits(const unique_fd& fd, const keepalive_limits& limits) {
    using std::chrono::duration_cast;
    using std::chrono::seconds;
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE,
               static_cast<int>(duration_cast<seconds>(limits.keepalive_idle).count()));
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL,
               static_cast<int>(duration_cast<seconds>(limits.keepalive_interval).count()));
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, limits.keepalive_probes);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(to_milliseconds(limits.unacknowledged)));
}

} // namespace

unique_fd::~unique_fd() {
    if (fd_ >= 0)
        ::close(fd_);
}

keepalive_limits fast_keepalive_limits() {
    return {std::chrono::seconds{1}, std::chrono::seconds{1}, 2, std::chrono::seconds{2}};
}

keepalive_limits slow_keepalive_limits() {
    return {std::chrono::seconds{15}, std::chrono::seconds{5}, 3, std::chrono::seconds{15}};
}

unique_fd listen_at(std::string_view address) {
    unique_fd fd = make_socket();
    set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in where = to_sockaddr(address);
    if (::bind(fd.get(), generic(where), sizeof where) != 0 || ::listen(fd.get(), listen_backlog) != 0)
        return unique_fd{};
    return fd;
}

unique_fd accept_from(const unique_fd& listener, const keepalive_limits& limits) {
    unique_fd fd{::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
    if (fd.is_valid())
        set_limits(fd, limits);
    return fd;
}

unique_fd start_connect(std::string_view address, const keepalive_limits& limits, std::string_view source) {
    unique_fd fd = make_socket();
    if (!fd.is_valid())
        return fd;
    set_limits(fd, limits);
    if (!source.empty()) {
        // The port is chosen with the destination, so that connections to other servers may use it too.
        set_option(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
        const sockaddr_in from = to_sockaddr(std::string{source} + ":0");
        if (::bind(fd.get(), generic(from), sizeof from) != 0)
            return unique_fd{};
    }
    const sockaddr_in where = to_sockaddr(address);
    if (::connect(fd.get(), generic(where), sizeof where) != 0 && errno != EINPROGRESS)
        return unique_fd{};
    return fd;
}

void limit_buffers(const unique_fd& listener, buffer_sizes sizes) {
    set_option(listener, SOL_SOCKET, SO_SNDBUF, sizes.sent);
    set_option(listener, SOL_SOCKET, SO_RCVBUF, sizes.received);
}

void enlarge_receive_buffer(const unique_fd& fd, int bytes) {
    set_option(fd, SOL_SOCKET, SO_RCVBUF, bytes);
    // The window was fixed by the smaller buffer when the connection was established.
    set_option(fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, 2 * bytes);
}

void reset_on_close(const unique_fd& fd) {
    const linger at_once{1, 0};
    ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

ssize_t send_pieces(const unique_fd& fd, std::string_view first, std::string_view second,
                    std::size_t written) {
    std::array<iovec, 2> pieces{};
    std::size_t count = 0;
    for (std::string_view piece : {first, second}) {
        const std::size_t skipped = std::min(written, piece.size());
        written -= skipped;
        piece.remove_prefix(skipped);
        // sendmsg() only reads the buffer, but iovec has no const pointer.
        if (!piece.empty())
            pieces.at(count++) = {const_cast<char*>(piece.data()), piece.size()}; // NOLINT(*-const-cast)
    }
    msghdr message{};
    message.msg_iov = pieces.data();
    message.msg_iovlen = count;
    return ::sendmsg(fd.get(), &message, MSG_NOSIGNAL);
}

std::string peer_of(const unique_fd& fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    auto* where =
        reinterpret_cast<sockaddr*>(&peer); // NOLINT(*-reinterpret-cast): required by the socket API
    std::array<char, INET_ADDRSTRLEN> text{};
    if (::getpeername(fd.get(), where, &size) != 0 ||
        ::inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size()) == nullptr)
        return {};
    return text.data();
}

int socket_error(const unique_fd& fd) {
    int code = 0;
    socklen_t size = sizeof code;
    if (::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &code, &size) != 0)
        return errno;
    return code;
}

bool is_readable(const unique_fd& fd) {
    pollfd it{fd.get(), POLLIN, 0};
    return ::poll(&it, 1, 0) == 1;
}

std::size_t connections_within_descriptors(std::size_t wanted) {
    constexpr std::size_t parts = 4; // One is left for servers, the store, peers and files.
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return wanted;
    return std::min<std::size_t>(wanted, limit.rlim_cur / parts * (parts - 1));
}

bool would_block() {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace pollengrade
