/** @file socket_stream.h A TCP socket as a KJ stream, watched by the GLib main loop. */
#pragma once

#include <cstddef>
#include <string_view>
#include <utility>

#include <kj/async-io.h>
#include <kj/async.h>

namespace pollengrade {

/** Owns a file descriptor. */
class unique_fd {
public:
    explicit unique_fd(int fd) : fd_{fd} {}
    unique_fd(unique_fd&& other) noexcept : fd_{other.fd_} { other.fd_ = -1; }
    unique_fd(const unique_fd&) = delete;
    unique_fd& operator=(const unique_fd&) = delete;
    unique_fd& operator=(unique_fd&& other) noexcept {
        std::swap(fd_, other.fd_);
        return *this;
    }
    ~unique_fd();

    [[nodiscard]] int get() const noexcept { return fd_; }
    [[nodiscard]] bool is_valid() const noexcept { return fd_ >= 0; }

private:
    int fd_; ///< -1 for none
};

/** A stream over a connected, non-blocking socket. */
class socket_stream final : public kj::AsyncIoStream {
public:
    explicit socket_stream(unique_fd fd) : fd_{kj::mv(fd)} {}

    kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes) override;
    kj::Promise<void> write(const void* buffer, std::size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
    void shutdownWrite() override;

private:
    kj::Promise<std::size_t> read_more(kj::byte* buffer, std::size_t min_bytes, std::size_t max_bytes,
                                       std::size_t done);

    unique_fd fd_; ///< the socket
};

/** @return a listening, non-blocking socket at "IPv4:port"; invalid when it cannot be had. */
[[nodiscard]] unique_fd listen_at(std::string_view address);
/** @return a connected socket, accepted from @p listener; invalid when none waits. */
[[nodiscard]] unique_fd accept_from(const unique_fd& listener);
/** Connects to "IPv4:port". @return the stream, once connected */
[[nodiscard]] kj::Promise<kj::Own<kj::AsyncIoStream>> connect_to(std::string_view address);

} // namespace pollengrade
