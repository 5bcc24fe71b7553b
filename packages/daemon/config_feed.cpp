/** @file config_feed.cpp Lists and watches of configuration. */
#include "daemon/config_feed.h"

#include <algorithm>
#include <utility>

namespace pollengrade {

namespace {

constexpr duration first_pause = std::chrono::milliseconds{100}; ///< after the first failed call
constexpr duration longest_pause = std::chrono::seconds{5};      ///< after many

} // namespace

config_feed::config_feed(timer_queue& timers, metrics& counts, platform_client& platform, config_store& store,
                         std::function<std::uint64_t()> random, std::function<void()> on_complete)
    : timers_{timers}, counts_{counts}, platform_{platform}, store_{store}, random_{std::move(random)},
      on_complete_{std::move(on_complete)},
      feeds_{{{config_kind::service_document, object_kind::service_document, {}, false, 0},
              {config_kind::shard_maps, object_kind::shard_maps, {}, false, 0}}} {}

void config_feed::start() {
    for (std::size_t n = 0; n < feeds_.size(); ++n)
        list(n);
}

void config_feed::take(kind_feed& feed, const object_list& list) {
    feed.failures = 0;
    feed.revision = std::max(feed.revision, list.revision);
    for (const platform_object& it : list.objects) {
        if (store_.offer({{feed.kind, it.name}, it.version, it.value}) == offer_result::rejected)
            ++counts_.counter("config_rejected");
    }
}

void config_feed::list(std::size_t index) {
    kind_feed& feed = feeds_.at(index);
    platform_.list(feed.source, [this, index, &feed](const auto& result) {
        if (!result) {
            retry(index, &config_feed::list);
            return;
        }
        take(feed, *result);
        feed.listed = true;
        const bool complete =
            std::all_of(feeds_.begin(), feeds_.end(), [](const kind_feed& it) { return it.listed; });
        if (complete)
            on_complete_();
        watch(index);
    });
}

void config_feed::watch(std::size_t index) {
    kind_feed& feed = feeds_.at(index);
    platform_.watch(feed.source, feed.revision, [this, index, &feed](const auto& result) {
        if (!result) {
            retry(index, &config_feed::watch);
            return;
        }
        take(feed, *result);
        watch(index);
    });
}

void config_feed::retry(std::size_t index, void (config_feed::*step)(std::size_t)) {
    kind_feed& feed = feeds_.at(index);
    constexpr std::uint32_t max_doublings = 6;
    const duration most =
        std::min(longest_pause, first_pause * (1U << std::min(feed.failures, max_doublings)));
    ++feed.failures;
    // Spread over the whole pause, so that nodes do not come back to the platform together.
    const duration pause =
        most / 10 +
        duration{static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(most.count()))};
    timers_.schedule_after(pause, [this, index, step] { (this->*step)(index); });
}

} // namespace pollengrade
