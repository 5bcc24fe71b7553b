/** @file socket_poller.cpp An epoll set as a GLib event source. */
#include "net/socket_poller.h"

#include <array>
#include <cassert>
#include <utility>

#include <sys/epoll.h>

namespace pollengrade {

namespace {

constexpr int max_events_per_turn = 256; ///< more wait for the next loop iteration, after its timers

// NOLINTNEXTLINE(cppcoreguidelines-avoid-non-const-global-variables): GLib's parameter is non-const
GSourceFuncs fd_ready_functions{nullptr,
                                nullptr,
                                [](GSource*, GSourceFunc callback, gpointer self) -> gboolean {
                                    return callback(self); },
                                nullptr,
                                nullptr,
                                nullptr};

std::uint32_t mask_of(socket_interest it) {
    std::uint32_t mask = EPOLLRDHUP;
    if (it.readable)
        mask |= EPOLLIN;
    if (it.writable)
        mask |= EPOLLOUT;
    return mask;
}

socket_events events_of(std::uint32_t mask) {
    return {(mask & EPOLLIN) != 0, (mask & EPOLLOUT) != 0, (mask & EPOLLRDHUP) != 0,
            (mask & (EPOLLERR | EPOLLHUP)) != 0};
}

constexpr unsigned generation_bits = 32; ///< upper bits of an event's key; the others index its slot

} // namespace

socket_watch::socket_watch(socket_watch&& other) noexcept
    : owner_{std::exchange(other.owner_, nullptr)}, fd_{other.fd_}, slot_{other.slot_},
      interest_{other.interest_} {}

socket_watch& socket_watch::operator=(socket_watch&& other) noexcept {
    std::swap(owner_, other.owner_);
    std::swap(fd_, other.fd_);
    std::swap(slot_, other.slot_);
    std::swap(interest_, other.interest_);
    return *this;
}

void socket_watch::reset() {
    if (owner_ != nullptr)
        std::exchange(owner_, nullptr)->remove(fd_, slot_);
}

void socket_watch::set_interest(socket_interest interest) {
    assert(owner_ != nullptr);
    if (std::exchange(interest_, interest) != interest)
        owner_->change(fd_, slot_, interest);
}

socket_poller::socket_poller(loop_clock& clock)
    : clock_{clock}, epoll_{::epoll_create1(EPOLL_CLOEXEC)}, source_{g_source_new(&fd_ready_functions,
                                                                                  sizeof(GSource))} {
    assert(epoll_.is_valid());
    g_source_add_unix_fd(source_, epoll_.get(), G_IO_IN);
    g_source_set_callback(
        source_,
        [](gpointer self) -> gboolean {
            auto* poller = static_cast<socket_poller*>(self);
            poller->dispatch();
            poller->clock_.sync();
            return G_SOURCE_CONTINUE;
        },
        this, nullptr);
    g_source_attach(source_, nullptr);
    clock_.set_before_timers([this] { dispatch(); });
}

socket_poller::~socket_poller() {
    clock_.set_before_timers(nullptr);
    g_source_destroy(source_);
    g_source_unref(source_);
}

std::uint64_t socket_poller::key_of(std::size_t index) const {
    return (std::uint64_t{slots_[index].generation} << generation_bits) | index;
}

socket_watch socket_poller::add(const unique_fd& fd, socket_interest interest, socket_watch::handler run) {
    if (free_.empty()) {
        free_.push_back(slots_.size());
        slots_.emplace_back();
    }
    const std::size_t index = free_.back();
    free_.pop_back();
    slots_[index].run = std::make_shared<socket_watch::handler>(std::move(run));
    epoll_event wanted{mask_of(interest), {}};
    wanted.data.u64 = key_of(index);
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd.get(), &wanted);
    return socket_watch{*this, fd.get(), index, interest};
}

void socket_poller::remove(int fd, std::size_t index) {
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
    slots_[index].run.reset();
    ++slots_[index].generation;
    free_.push_back(index);
}

void socket_poller::change(int fd, std::size_t index, socket_interest interest) {
    epoll_event wanted{mask_of(interest), {}};
    wanted.data.u64 = key_of(index);
    ::epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, fd, &wanted);
}

void socket_poller::dispatch() {
    std::array<epoll_event, max_events_per_turn> ready{};
    const int count = ::epoll_wait(epoll_.get(), ready.data(), max_events_per_turn, 0);
    if (count <= 0)
        return;
    clock_.read();
    for (int n = 0; n < count; ++n) {
        const epoll_event& it = ready.at(static_cast<std::size_t>(n));
        const auto index = static_cast<std::size_t>(it.data.u64 & 0xffff'ffffU);
        if (it.data.u64 != key_of(index))
            continue; // Removed by a handler earlier in this batch.
        // The handler may remove its own watch, so it is kept alive until it returns.
        const auto run = slots_[index].run;
        if (run)
            (*run)(events_of(it.events));
    }
}

} // namespace pollengrade
