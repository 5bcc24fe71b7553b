/** @file config_feed.h Brings configuration from the platform into a node's store. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "core/config_store.h"
#include "core/metrics.h"
#include "core/timer_queue.h"
#include "http/platform_client.h"

namespace pollengrade {

/** Reads both kinds of configuration once, then waits for changes, for as long as it lives. */
class config_feed {
public:
    /**
     * @param timers the clock
     * @param counts the counters
     * @param platform the object API
     * @param store takes what is read
     * @param random for pauses
     * @param on_complete called each time both kinds have been read in full
     */
    config_feed(timer_queue& timers, metrics& counts, platform_client& platform, config_store& store,
                std::function<std::uint64_t()> random, std::function<void()> on_complete);

    /** Starts to read. */
    void start();

private:
    struct kind_feed {
        config_kind kind;           ///< what the node calls it
        object_kind source;         ///< what the platform calls it
        object_version revision;    ///< the latest revision covered
        bool listed = false;        ///< whether all objects have been read
        std::uint32_t failures = 0; ///< calls failed in a row
    };

    void list(std::size_t index);
    void watch(std::size_t index);
    void take(kind_feed& feed, const object_list& list);
    void retry(std::size_t index, void (config_feed::*step)(std::size_t));

    timer_queue& timers_;                   ///< the clock
    metrics& counts_;                       ///< the counters
    platform_client& platform_;             ///< the object API
    config_store& store_;                   ///< takes what is read
    std::function<std::uint64_t()> random_; ///< for pauses
    std::function<void()> on_complete_;     ///< see the constructor
    std::array<kind_feed, 2> feeds_;        ///< one for each kind
};

} // namespace pollengrade
