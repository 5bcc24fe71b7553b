/** @file unique_fd.h Ownership of a file descriptor. */
#pragma once

#include <utility>

namespace pollengrade {

/** Owns a file descriptor and closes it. */
class unique_fd {
public:
    explicit unique_fd(int fd = -1) noexcept : fd_{fd} {}
    unique_fd(unique_fd&& other) noexcept : fd_{std::exchange(other.fd_, -1)} {}
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

} // namespace pollengrade
