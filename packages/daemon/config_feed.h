/** @file config_feed.h Brings configuration from the platform into a node. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "core/base/timer_queue.h"
#include "core/config/config_store.h"
#include "http/platform_client.h"

namespace pollengrade {

/** What a feed needs of its node. */
struct feed_hooks {
    std::function<void(const std::vector<config_entry>&)> take; ///< takes what is read
    std::function<void()> complete;                             ///< both kinds have been read in full
    std::function<bool()> is_on_duty;                           ///< whether this node watches
};

/** Reads both kinds of configuration once; then, as long as it is on duty, waits for changes. */
class config_feed {
public:
    /**
     * @param timers the clock
     * @param platform the object API
     * @param random for pauses
     * @param hooks the node
     */
    config_feed(timer_queue& timers, platform_client& platform, std::function<std::uint64_t()> random,
                feed_hooks hooks);

    /** Starts to read. */
    void start();
    /** Looks again at whether this node is on duty. */
    void on_duty_changed();

private:
    struct kind_feed {
        config_kind kind;           ///< what the node calls it
        object_kind source;         ///< what the platform calls it
        object_version revision;    ///< the latest revision covered
        bool listed = false;        ///< whether all objects have been read
        bool busy = false;          ///< whether a call or a pause before one is under way
        std::uint32_t failures = 0; ///< calls failed in a row
    };

    void advance(kind_feed& feed);
    void list(kind_feed& feed);
    void watch(kind_feed& feed);
    void take(kind_feed& feed, const object_list& list);
    void retry(kind_feed& feed);

    timer_queue& timers_;                   ///< the clock
    platform_client& platform_;             ///< the object API
    std::function<std::uint64_t()> random_; ///< for pauses
    feed_hooks hooks_;                      ///< the node
    std::array<kind_feed, 2> feeds_;        ///< one for each kind
};

} // namespace pollengrade
