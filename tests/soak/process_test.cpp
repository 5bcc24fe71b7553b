/** @file process_test.cpp The soak sends a stop only to a process that could take it. */
#include <doctest/doctest.h>

#include <csignal>

#include <unistd.h>

#include "process_func.h"

namespace pollengrade {

TEST_CASE("a process is seen to handle a signal from when its handler stands, not before") {
    const int self = ::getpid();
    CHECK_FALSE(has_handler(self, SIGUSR1));
    const auto before = std::signal(SIGUSR1, [](int) {});
    CHECK(has_handler(self, SIGUSR1));
    CHECK_FALSE(has_handler(self, SIGUSR2));
    std::signal(SIGUSR1, before);
    CHECK_FALSE(has_handler(self, SIGUSR1));
}

TEST_CASE("a process that is not running handles nothing") {
    CHECK_FALSE(has_handler(-1, SIGTERM));
}

} // namespace pollengrade
