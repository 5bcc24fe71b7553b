/** @file random_source.h Random number generators. Copies of a generator share one sequence. */
#pragma once

#include <cstdint>
#include <functional>

namespace pollengrade {

/** @return a generator seeded by the operating system. */
[[nodiscard]] std::function<std::uint64_t()> system_random();
/** @return a generator that returns the same numbers for the same seed. */
[[nodiscard]] std::function<std::uint64_t()> seeded_random(std::uint64_t seed);

} // namespace pollengrade
