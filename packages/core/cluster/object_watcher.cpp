/** @file object_watcher.cpp Lists and watches the objects of one kind. */
#include "core/cluster/object_watcher.h"

#include <algorithm>
#include <utility>

namespace pollengrade {

namespace {

constexpr duration initial_backoff = std::chrono::milliseconds{200}; ///< backoff after the first failed call
constexpr std::uint32_t max_doublings = 3; ///< limits the backoff to 1.6 s and the time for a list to 4 s
/** A hundred times the store's usual response time; doubled after each failure for a slower store. */
constexpr duration first_list_limit = std::chrono::milliseconds{500};
constexpr duration normal_wait = std::chrono::seconds{28}; ///< wait of a watch; the store allows 30 s
constexpr duration min_wait = std::chrono::seconds{1};     ///< shortest random wait of a watch
constexpr duration reply_limit =
    std::chrono::seconds{2}; ///< a watch that exceeds its wait by this has failed

/** @return the time limit of a watch with no wait. */
duration liveness_check_limit(std::uint32_t failures) {
    return std::min<duration>(first_list_limit * (1U << std::min(failures, max_doublings)), reply_limit);
}

} // namespace

object_watcher::object_watcher(timer_queue& timers, std::function<std::uint64_t()> random,
                               duration min_interval, object_watcher_hooks hooks)
    : timers_{timers}, random_{std::move(random)}, min_interval_{min_interval}, hooks_{std::move(hooks)} {}

void object_watcher::start() {
    start_next_call();
}

void object_watcher::on_store_watcher_changed() {
    if (listed_)
        start_next_call();
}

void object_watcher::start_next_call() {
    if (busy_)
        return;
    if (!current_)
        list();
    else if (hooks_.is_store_watcher())
        watch();
}

void object_watcher::list() {
    busy_ = true;
    const duration limit = first_list_limit * (1U << std::min(failures_, max_doublings));
    // The first list may be stale: the watch from its revision delivers the missing changes at once.
    hooks_.list(limit, !listed_, [this](const tl::expected<object_list, store_error>& result) {
        hooks_.reached(result.has_value());
        if (!result) {
            retry();
            return;
        }
        busy_ = false;
        failures_ = 0;
        last_answer_ = timers_.now();
        revision_ = result->revision;
        listed_ = true;
        current_ = true;
        synchronized_ = true;
        hooks_.replaced(*result);
        start_next_call();
    });
}

void object_watcher::watch() {
    busy_ = true;
    // After a failure, a watch without a wait checks that the store answers: a watch that the store accepted
    // and lost cannot be told from one that waits.
    const bool is_liveness_check = failures_ > 0;
    const duration wait = is_liveness_check ? duration{0} : next_wait();
    const duration limit = is_liveness_check ? liveness_check_limit(failures_) : wait + reply_limit;
    hooks_.watch(revision_, wait, limit,
                 [this, is_liveness_check](const tl::expected<object_changes, store_error>& result) {
                     const bool is_gone = !result && result.error() == store_error::history_gone;
                     hooks_.reached(result.has_value() || is_gone);
                     // A store that came back from a copy may have given the revision out again.
                     const bool is_other_history = result && result->revision.era() != revision_.era();
                     if (is_gone || is_other_history) {
                         // Changes were missed: only a list shows the current objects.
                         busy_ = false;
                         current_ = false;
                         start_next_call();
                         return;
                     }
                     if (!result) {
                         retry();
                         return;
                     }
                     failures_ = 0;
                     last_answer_ = timers_.now();
                     revision_ = std::max(revision_, result->revision);
                     synchronized_ = is_liveness_check || !result->changes.empty();
                     if (!result->changes.empty())
                         hooks_.changed(*result);
                     start_next_call_after(result->changes.empty() ? duration{0} : min_interval_);
                 });
}

duration object_watcher::next_wait() {
    if (!synchronized_)
        return normal_wait;
    const auto span = static_cast<std::uint64_t>((normal_wait - min_wait).count());
    return min_wait + duration{static_cast<duration::rep>(random_() % span)};
}

void object_watcher::retry() {
    const duration max_backoff = initial_backoff * (1U << std::min(failures_, max_doublings));
    ++failures_;
    // Jitter keeps nodes from retrying at the same time.
    const auto jitter =
        static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(max_backoff.count() / 2));
    start_next_call_after(max_backoff / 2 + duration{jitter});
}

void object_watcher::start_next_call_after(duration span) {
    timers_.schedule_after(span, [this] {
        busy_ = false;
        start_next_call();
    });
}

} // namespace pollengrade
