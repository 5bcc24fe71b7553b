/** @file place_func.cpp Orders connections by how little they are used. */
#include "net/place_func.h"

#include <algorithm>
#include <tuple>

namespace pollengrade {

namespace {

/** Below the time for which callers wait until their request is read. */
constexpr duration least_unchanged = std::chrono::milliseconds{500};

} // namespace

std::vector<std::uint64_t> places_to_free(std::vector<place> places, time_point now, std::size_t count) {
    std::erase_if(places, [now](const place& it) {
        return it.use == place_use::waiting ||
               (it.use != place_use::ending && now - it.since < least_unchanged);
    });
    const auto end = places.begin() + static_cast<std::ptrdiff_t>(std::min(count, places.size()));
    std::partial_sort(places.begin(), end, places.end(), [](const place& a, const place& b) {
        return std::tie(a.use, a.since, a.key) < std::tie(b.use, b.since, b.key);
    });
    std::vector<std::uint64_t> keys;
    for (auto it = places.begin(); it != end; ++it)
        keys.push_back(it->key);
    return keys;
}

} // namespace pollengrade
