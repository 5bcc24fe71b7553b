/** @file socket_stream.h A KJ stream over a TCP socket that the GLib main loop polls. */
#pragma once

#include <cstddef>
#include <string_view>

#include <kj/async-io.h>
#include <kj/async.h>

#include "net/unique_fd.h"

namespace pollengrade {

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

    unique_fd fd_; ///< the connected socket
};

/** Connects to "IPv4:port". @return a promise of the stream, fulfilled when the connection is established */
[[nodiscard]] kj::Promise<kj::Own<kj::AsyncIoStream>> connect_to(std::string_view address);

} // namespace pollengrade
