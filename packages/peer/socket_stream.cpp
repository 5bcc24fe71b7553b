/** @file socket_stream.cpp Asynchronous reads and writes driven by the GLib main loop. */
#include "peer/socket_stream.h"

#include <cerrno>

#include <glib-unix.h>
#include <kj/debug.h>
#include <sys/socket.h>

#include "net/socket_func.h"

namespace pollengrade {

namespace {

/** Fulfils a promise when a descriptor is ready; removes its GLib source when the promise is dropped. */
class ready_watch {
public:
    ready_watch(kj::PromiseFulfiller<void>& fulfiller, int fd, GIOCondition condition)
        : fulfiller_{fulfiller}, source_{g_unix_fd_add(fd, condition, &ready_watch::on_ready, this)} {}
    ready_watch(const ready_watch&) = delete;
    ready_watch& operator=(const ready_watch&) = delete;
    ready_watch(ready_watch&&) = delete;
    ready_watch& operator=(ready_watch&&) = delete;
    ~ready_watch() {
        if (source_ != 0)
            g_source_remove(source_);
    }

private:
    static gboolean on_ready(gint, GIOCondition, gpointer self) {
        auto* it = static_cast<ready_watch*>(self);
        it->source_ = 0;
        it->fulfiller_.fulfill();
        return G_SOURCE_REMOVE;
    }

    kj::PromiseFulfiller<void>& fulfiller_; ///< fulfils the waiting promise
    guint source_;                          ///< the GLib source; 0 after it has fired
};

kj::Promise<void> when_ready(int fd, int condition) {
    return kj::newAdaptedPromise<void, ready_watch>(fd, static_cast<GIOCondition>(condition));
}

} // namespace

kj::Promise<std::size_t> socket_stream::tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes) {
    return read_more(static_cast<kj::byte*>(buffer), min_bytes, max_bytes, 0);
}

kj::Promise<std::size_t> socket_stream::read_more(kj::byte* buffer, std::size_t min_bytes,
                                                  std::size_t max_bytes, std::size_t done) {
    const ssize_t n = ::recv(fd_.get(), buffer + done, max_bytes - done, 0);
    if (n == 0)
        return done;
    if (n < 0 && !would_block())
        return KJ_EXCEPTION(DISCONNECTED, "read failed", errno);
    if (n > 0)
        done += static_cast<std::size_t>(n);
    if (done >= min_bytes)
        return done;
    return when_ready(fd_.get(), G_IO_IN | G_IO_HUP | G_IO_ERR)
        .then([this, buffer, min_bytes, max_bytes, done] {
            return read_more(buffer, min_bytes, max_bytes, done);
        });
}

kj::Promise<void> socket_stream::write(const void* buffer, std::size_t size) {
    const auto* bytes = static_cast<const kj::byte*>(buffer);
    const ssize_t n = ::send(fd_.get(), bytes, size, MSG_NOSIGNAL);
    if (n < 0 && !would_block())
        return KJ_EXCEPTION(DISCONNECTED, "write failed", errno);
    const std::size_t done = n > 0 ? static_cast<std::size_t>(n) : 0;
    if (done == size)
        return kj::READY_NOW;
    return when_ready(fd_.get(), G_IO_OUT | G_IO_HUP | G_IO_ERR).then([this, bytes, size, done] {
        return write(bytes + done, size - done);
    });
}

kj::Promise<void> socket_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
    if (pieces.size() == 0)
        return kj::READY_NOW;
    return write(pieces[0].begin(), pieces[0].size()).then([this, pieces] {
        return write(pieces.slice(1, pieces.size()));
    });
}

void socket_stream::shutdownWrite() {
    ::shutdown(fd_.get(), SHUT_WR);
}

kj::Promise<kj::Own<kj::AsyncIoStream>> connect_to(std::string_view address) {
    unique_fd fd = start_connect(address, fast_keepalive_limits());
    if (!fd.is_valid())
        return KJ_EXCEPTION(DISCONNECTED, "connect failed", errno);
    const int raw = fd.get();
    return when_ready(raw, G_IO_OUT | G_IO_HUP | G_IO_ERR)
        .then([fd = kj::mv(fd)]() mutable -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
            if (const int code = socket_error(fd); code != 0)
                return KJ_EXCEPTION(DISCONNECTED, "connect failed", code);
            kj::Own<kj::AsyncIoStream> stream = kj::heap<socket_stream>(kj::mv(fd));
            return kj::mv(stream);
        });
}

} // namespace pollengrade
