/** @file random_source.h Random numbers of a process. Copies of a source share one sequence. */
#pragma once

#include <cstdint>
#include <functional>

namespace pollengrade {

/** @return a source seeded by the operating system. */
[[nodiscard]] std::function<std::uint64_t()> system_random();
/** @return a source that gives the same numbers for the same seed. */
[[nodiscard]] std::function<std::uint64_t()> seeded_random(std::uint64_t seed);

} // namespace pollengrade
