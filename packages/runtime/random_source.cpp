/** @file random_source.cpp Random numbers from the standard library's engine. */
#include "runtime/random_source.h"

#include <memory>
#include <random>

namespace pollengrade {

std::function<std::uint64_t()> system_random() {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return [engine = std::make_shared<std::mt19937_64>(seed)] { return (*engine)(); };
}

std::function<std::uint64_t()> seeded_random(std::uint64_t seed) {
    return [engine = std::make_shared<std::mt19937_64>(seed)] { return (*engine)(); };
}

} // namespace pollengrade
