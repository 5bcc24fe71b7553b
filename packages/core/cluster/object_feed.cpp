/** @file object_feed.cpp Lists and watches of one kind. */
#include "core/cluster/object_feed.h"

#include <algorithm>
#include <utility>

namespace pollengrade {

namespace {

constexpr duration first_pause = std::chrono::milliseconds{200}; ///< after the first failed call
constexpr std::uint32_t max_doublings = 3;                       ///< of the pause: 1.6 s at most
/** A hundred times the store's usual answer; a store that is slower still is given twice as long each time.
 */
constexpr duration first_list_limit = std::chrono::milliseconds{500};
constexpr duration usual_wait = std::chrono::seconds{28}; ///< of a watch; the store allows 30 s
constexpr duration least_wait = std::chrono::seconds{1};  ///< of a watch that is to wait at all
constexpr duration reply_limit = std::chrono::seconds{2}; ///< past its wait, a watch counts as lost

/** @return how long a watch may take that does not wait. */
duration proof_limit(std::uint32_t failures) {
    return std::min<duration>(first_list_limit * (1U << std::min(failures, max_doublings)), reply_limit);
}

} // namespace

object_feed::object_feed(timer_queue& timers, std::function<std::uint64_t()> random, duration rest,
                         feed_hooks hooks)
    : timers_{timers}, random_{std::move(random)}, rest_{rest}, hooks_{std::move(hooks)} {}

void object_feed::start() {
    advance();
}

void object_feed::on_duty_changed() {
    if (listed_)
        advance();
}

void object_feed::advance() {
    if (busy_)
        return;
    if (!current_)
        list();
    else if (hooks_.is_on_duty())
        watch();
}

void object_feed::list() {
    busy_ = true;
    const duration limit = first_list_limit * (1U << std::min(failures_, max_doublings));
    // The first list may be behind: the watch from its revision brings at once what it lacks.
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
        in_step_ = true;
        hooks_.replaced(*result);
        advance();
    });
}

void object_feed::watch() {
    busy_ = true;
    // After a failure the store first shows that it answers: a watch that it took and forgot looks like one
    // that waits.
    const bool is_proof = failures_ > 0;
    const duration wait = is_proof ? duration{0} : next_wait();
    const duration limit = is_proof ? proof_limit(failures_) : wait + reply_limit;
    hooks_.watch(revision_, wait, limit,
                 [this, is_proof](const tl::expected<object_changes, store_error>& result) {
                     const bool is_gone = !result && result.error() == store_error::history_gone;
                     hooks_.reached(result.has_value() || is_gone);
                     if (is_gone) {
                         // Changes were missed: only a list tells what is there now.
                         busy_ = false;
                         current_ = false;
                         advance();
                         return;
                     }
                     if (!result) {
                         retry();
                         return;
                     }
                     failures_ = 0;
                     last_answer_ = timers_.now();
                     revision_ = std::max(revision_, result->revision);
                     in_step_ = is_proof || !result->changes.empty();
                     if (!result->changes.empty())
                         hooks_.changed(*result);
                     pause(result->changes.empty() ? duration{0} : rest_);
                 });
}

duration object_feed::next_wait() {
    if (!in_step_)
        return usual_wait;
    const auto span = static_cast<std::uint64_t>((usual_wait - least_wait).count());
    return least_wait + duration{static_cast<duration::rep>(random_() % span)};
}

void object_feed::retry() {
    const duration most = first_pause * (1U << std::min(failures_, max_doublings));
    ++failures_;
    // Drawn, so that nodes do not come back to the store together.
    const auto drawn = static_cast<duration::rep>(random_() % static_cast<std::uint64_t>(most.count() / 2));
    pause(most / 2 + duration{drawn});
}

void object_feed::pause(duration span) {
    timers_.schedule_after(span, [this] {
        busy_ = false;
        advance();
    });
}

} // namespace pollengrade
