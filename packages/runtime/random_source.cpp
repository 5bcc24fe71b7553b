/** @file random_source.cpp Random numbers by the standard library's engine. */
#include "runtime/random_source.h"

#include <random>

namespace pollengrade {

std::function<std::uint64_t()> system_random() {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return [engine = std::mt19937_64{seed}]() mutable { return engine(); };
}

std::function<std::uint64_t()> seeded_random(std::uint64_t seed) {
    return [engine = std::mt19937_64{seed}]() mutable { return engine(); };
}

} // namespace pollengrade
