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
/** After so many failed watches in a row the objects are listed: a store may answer lists and not watches. */
constexpr std::uint32_t failures_per_list = 4;
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
    const std::uint64_t call = ++call_;
    const time_point asked_at = timers_.now();
    const duration limit = first_list_limit * (1U << std::min(failures_, max_doublings));
    // The first list may be stale: the watch from its revision delivers the missing changes at once.
    const bool is_current = listed_;
    hooks_.list(limit, !is_current,
                [this, call, asked_at, is_current](const tl::expected<object_list, store_error>& result) {
                    if (call != call_)
                        return;
                    hooks_.reached(result.has_value());
                    if (!result) {
                        retry();
                        return;
                    }
                    busy_ = false;
                    failures_ = 0;
                    listed_ = true;
                    current_ = true;
                    synchronized_ = true;
                    replace(*result);
                    if (is_current)
                        note_confirmed(asked_at);
                    start_next_call();
                });
}

void object_watcher::replace(const object_list& list) {
    last_answer_ = timers_.now();
    revision_ = list.revision;
    hooks_.replaced(list);
}

void object_watcher::list_besides() {
    const time_point asked_at = timers_.now();
    hooks_.list(reply_limit, false, [this, asked_at](const tl::expected<object_list, store_error>& result) {
        if (!result || !current_ || result->revision <= revision_)
            return;
        replace(*result);
        note_confirmed(asked_at);
    });
}

void object_watcher::watch() {
    busy_ = true;
    // After a failure, a watch without a wait checks that the store answers: a watch that the store accepted
    // and lost cannot be told from one that waits.
    const bool is_liveness_check = failures_ > 0;
    const std::uint64_t call = ++call_;
    const time_point asked_at = timers_.now();
    const duration wait = is_liveness_check ? duration{0} : next_wait();
    const duration limit = is_liveness_check ? liveness_check_limit(failures_) : wait + reply_limit;
    hooks_.watch(
        revision_, wait, limit,
        [this, call, asked_at, is_liveness_check](const tl::expected<object_changes, store_error>& result) {
            if (call != call_)
                return;
            on_watched(is_liveness_check, result);
            if (result && !is_other_history(result))
                note_confirmed(asked_at);
        });
}

bool object_watcher::is_other_history(const tl::expected<object_changes, store_error>& result) const {
    if (!result)
        return result.error() == store_error::history_gone;
    // A store that came back from a copy may have given the revision out again.
    return result->revision.era() != revision_.era();
}

void object_watcher::on_watched(bool is_liveness_check,
                                const tl::expected<object_changes, store_error>& result) {
    const bool must_list = is_other_history(result);
    hooks_.reached(result.has_value() || must_list);
    if (must_list) {
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
    synchronized_ = is_liveness_check || !result->changes.empty();
    take(*result);
    start_next_call_after(result->changes.empty() ? duration{0} : min_interval_);
}

void object_watcher::take(const object_changes& changes) {
    last_answer_ = timers_.now();
    revision_ = std::max(revision_, changes.revision);
    if (!changes.changes.empty())
        hooks_.changed(changes);
}

void object_watcher::check() {
    // After a failure the calls themselves are checks, as long as there are any.
    const bool is_retrying = failures_ > 0 && busy_;
    if (!current_ || is_retrying || std::exchange(checking_, true))
        return;
    const time_point asked_at = timers_.now();
    hooks_.watch(revision_, duration{0}, first_list_limit,
                 [this, asked_at](const tl::expected<object_changes, store_error>& result) {
                     checking_ = false;
                     on_checked(result);
                     if (result && current_)
                         note_confirmed(asked_at);
                 });
}

void object_watcher::on_checked(const tl::expected<object_changes, store_error>& result) {
    if (is_other_history(result)) {
        hooks_.reached(true);
        drop_call();
        current_ = false;
        start_next_call();
        return;
    }
    if (!result) {
        if (!hooks_.is_store_watcher())
            return;
        hooks_.reached(false);
        drop_call();
        busy_ = true;
        retry();
        return;
    }
    hooks_.reached(true);
    if (!busy_)
        failures_ = 0;
    take(*result);
    // A watch that waits for changes that the store has told of is lost.
    if (!result->changes.empty() && busy_ && !delay_) {
        drop_call();
        busy_ = true;
        start_next_call_after(min_interval_);
    }
}

void object_watcher::note_confirmed(time_point asked_at) {
    if (asked_at <= confirmed_at_)
        return;
    confirmed_at_ = asked_at;
    hooks_.confirmed();
}

void object_watcher::drop_call() {
    ++call_;
    busy_ = false;
    if (delay_)
        timers_.cancel(*std::exchange(delay_, std::nullopt));
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
    if (current_ && failures_ % failures_per_list == 0)
        list_besides();
    // Jitter keeps nodes from retrying at the same time.
    const auto jitter =
        static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(max_backoff.count() / 2));
    start_next_call_after(max_backoff / 2 + duration{jitter});
}

void object_watcher::start_next_call_after(duration span) {
    delay_ = timers_.schedule_after(span, [this] {
        delay_.reset();
        busy_ = false;
        start_next_call();
    });
}

} // namespace pollengrade
