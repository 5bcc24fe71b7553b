/** @file config_feed.cpp Lists and watches of configuration. */
#include "daemon/config_feed.h"

#include <algorithm>
#include <utility>

namespace pollengrade {

namespace {

constexpr duration first_pause = std::chrono::milliseconds{100}; ///< after the first failed call
constexpr duration longest_pause = std::chrono::seconds{5};      ///< after many
constexpr std::uint32_t max_doublings = 6;                       ///< of the pause

} // namespace

config_feed::config_feed(timer_queue& timers, platform_client& platform,
                         std::function<std::uint64_t()> random, feed_hooks hooks)
    : timers_{timers}, platform_{platform}, random_{std::move(random)}, hooks_{std::move(hooks)},
      feeds_{{{config_kind::service_document, object_kind::service_document, {}, false, false, 0},
              {config_kind::shard_maps, object_kind::shard_maps, {}, false, false, 0}}} {}

void config_feed::start() {
    for (kind_feed& it : feeds_)
        advance(it);
}

void config_feed::on_duty_changed() {
    for (kind_feed& it : feeds_) {
        if (it.listed)
            advance(it);
    }
}

void config_feed::advance(kind_feed& feed) {
    if (feed.busy)
        return;
    if (!feed.listed)
        list(feed);
    else if (hooks_.is_on_duty())
        watch(feed);
}

void config_feed::take(kind_feed& feed, const object_list& list) {
    feed.busy = false;
    feed.failures = 0;
    feed.revision = std::max(feed.revision, list.revision);
    std::vector<config_entry> entries;
    for (const platform_object& it : list.objects)
        entries.push_back({{feed.kind, it.name}, it.version, it.value});
    hooks_.take(entries);
}

void config_feed::list(kind_feed& feed) {
    feed.busy = true;
    platform_.list(feed.source, [this, &feed](const auto& result) {
        if (!result) {
            retry(feed);
            return;
        }
        take(feed, *result);
        feed.listed = true;
        if (std::all_of(feeds_.begin(), feeds_.end(), [](const kind_feed& it) { return it.listed; }))
            hooks_.complete();
        advance(feed);
    });
}

void config_feed::watch(kind_feed& feed) {
    feed.busy = true;
    platform_.watch(feed.source, feed.revision, [this, &feed](const auto& result) {
        if (!result) {
            retry(feed);
            return;
        }
        take(feed, *result);
        advance(feed);
    });
}

void config_feed::retry(kind_feed& feed) {
    const duration most =
        std::min(longest_pause, first_pause * (1U << std::min(feed.failures, max_doublings)));
    ++feed.failures;
    // Spread over the whole pause, so that nodes do not come back to the platform together.
    const auto drawn = static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(most.count()));
    timers_.schedule_after(most / 10 + duration{drawn}, [this, &feed] {
        feed.busy = false;
        advance(feed);
    });
}

} // namespace pollengrade
