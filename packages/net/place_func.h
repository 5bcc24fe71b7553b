/** @file place_func.h Which connections are closed when a listener has no place for another one. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/base/time_type.h"

namespace pollengrade {

/** What a connection is used for, in the order in which connections are closed. */
enum class place_use : std::uint8_t {
    ending,    ///< its last reply has been written
    unused,    ///< no request has begun on it so far
    receiving, ///< a request has begun and is not complete
    idle,      ///< kept open after a reply
    sending,   ///< a reply is being read by the caller
    waiting,   ///< a request waits for its reply; never closed
};

/** A connection's place in a listener. */
struct place {
    std::uint64_t key = 0; ///< names the connection
    place_use use{};       ///< what it is used for
    time_point since{};    ///< since when
};

/**
 * Ordinary callers send a request on a new connection at once, send it and read its reply in a short time,
 * and reuse a connection soon or never; so the longest unchanged go first, and none that changed a moment
 * ago.
 * @param places all connections
 * @param now the time
 * @param count connections to be closed at most
 * @return the keys of those to be closed
 */
[[nodiscard]] std::vector<std::uint64_t> places_to_free(std::vector<place> places, time_point now,
                                                        std::size_t count);

} // namespace pollengrade
