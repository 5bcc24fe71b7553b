/** @file process_test.cpp The soak sends a stop signal only to a process that has installed a handler for it.
 */
#include <doctest/doctest.h>

#include <csignal>

#include <unistd.h>

#include "process_func.h"

namespace pollengrade {

TEST_CASE("has_handler is true only while a handler for the signal is installed") {
    const int self = ::getpid();
    CHECK_FALSE(has_handler(self, SIGUSR1));
    const auto before = std::signal(SIGUSR1, [](int) {});
    CHECK(has_handler(self, SIGUSR1));
    CHECK_FALSE(has_handler(self, SIGUSR2));
    std::signal(SIGUSR1, before);
    CHECK_FALSE(has_handler(self, SIGUSR1));
}

TEST_CASE("has_handler is false for a process that is not running") {
    CHECK_FALSE(has_handler(-1, SIGTERM));
}

} // namespace pollengrade
