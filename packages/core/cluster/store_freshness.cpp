/** @file store_freshness.cpp When to ask a watcher, when to check the store, and when to watch it for others.
 */
#include "core/cluster/store_freshness.h"

#include <algorithm>
#include <utility>

namespace pollengrade {

namespace {

// Ages of a confirmation, in intervals, after which a node does what.
constexpr int intervals_in_apply_limit = 6; ///< half of the limit is left when nodes check for themselves
constexpr double watcher_asks_after = 1.1;
constexpr double node_asks_after = 1.5;
constexpr double acting_checks_after = 2; ///< and up to one more, drawn
constexpr double node_checks_after = 3;
/** So many watchers wait one interval for each rank before them; the later ones are as patient as other
 * nodes. */
constexpr std::size_t early_watchers = 2;
constexpr double retry_interval = 0.5; ///< between two asks
constexpr double leading_time = 6;     ///< then it is seen whether the watchers before this one can again
constexpr double much_newer = 1;       ///< difference of ages for which the sender of a probe is asked

/** Nodes check the store at this rate together, if the watchers are of no help. */
constexpr duration check_spacing = std::chrono::milliseconds{100};
/** Time for which a node watches the store for others; then it is seen whether they can again. */
constexpr duration acting_time = std::chrono::seconds{10};

duration times(duration it, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(it.count()) * factor)};
}

} // namespace

store_freshness::store_freshness(timer_queue& timers, event_log& log, metrics& counts,
                                 std::function<std::uint64_t()> random, duration apply_limit,
                                 freshness_hooks hooks)
    : timers_{timers}, log_{log}, counts_{counts}, random_{std::move(random)},
      interval_{apply_limit / intervals_in_apply_limit}, hooks_{std::move(hooks)}, waits_from_{timers.now()} {
}

void store_freshness::set_needed(bool is_needed) {
    if (std::exchange(is_needed_, is_needed) == is_needed)
        return;
    // Until now every node watched the store itself.
    wait_from(timers_.now());
    schedule();
}

void store_freshness::on_store_answer(time_point asked_at) {
    if (!on_confirmed(asked_at))
        return;
    const auto rank = hooks_.watcher_rank();
    if (is_acting() || (rank && *rank < early_watchers))
        lead();
    schedule();
    const bool is_of_check = last_check_ != time_point{} && last_check_ <= asked_at;
    if (is_needed_ && is_of_check && !rank)
        act();
}

void store_freshness::on_peer_answer(time_point asked_at, duration age) {
    if (!on_confirmed(asked_at - age))
        return;
    leads_until_ = time_point{};
    schedule();
}

void store_freshness::on_peer_probe(const node_address& peer, duration age) {
    const time_point now = timers_.now();
    const bool is_newer = age + times(interval_, much_newer) < now - waits_from_;
    if (!is_needed_ || !is_newer || now < last_ask_ + times(interval_, retry_interval))
        return;
    last_ask_ = now;
    hooks_.ask(peer);
}

bool store_freshness::on_confirmed(time_point at) {
    if (confirmed_at_ && at <= *confirmed_at_)
        return false;
    confirmed_at_ = at;
    asks_ = 0;
    wait_from(std::max(waits_from_, at));
    return true;
}

std::optional<duration> store_freshness::age() const {
    if (!confirmed_at_)
        return std::nullopt;
    return timers_.now() - *confirmed_at_;
}

void store_freshness::wait_from(time_point at) {
    waits_from_ = at;
    draw_patience();
}

void store_freshness::draw_patience() {
    constexpr std::uint64_t steps = 1'000'000;
    patience_ = static_cast<double>(random_() % steps) / static_cast<double>(steps);
}

void store_freshness::lead() {
    if (timers_.now() >= leads_until_)
        leads_until_ = timers_.now() + times(interval_, leading_time);
}

void store_freshness::act() {
    hooks_.tell_watchers();
    if (is_acting())
        return;
    acting_until_ = timers_.now() + acting_time;
    ++counts_.counter("store_watch_taken_over");
    log_.record(event_kind::store_watch_taken_over, {}, {}, {});
    hooks_.became_acting();
}

time_point store_freshness::ask_due() const {
    const auto rank = hooks_.watcher_rank();
    if (rank == 0)
        return time_point::max();
    const double after = rank ? watcher_asks_after : node_asks_after;
    return std::max(waits_from_ + times(interval_, after), last_ask_ + times(interval_, retry_interval));
}

time_point store_freshness::check_due() const {
    const auto rank = hooks_.watcher_rank();
    const bool is_early_watcher = rank && *rank < early_watchers;
    if (is_early_watcher || is_acting()) {
        const double behind =
            is_early_watcher ? static_cast<double>(*rank) : acting_checks_after - 1 + patience_;
        const double after = timers_.now() < leads_until_ ? 1 : 1 + behind;
        return std::max(waits_from_ + times(interval_, after), last_check_ + interval_);
    }
    // All nodes together check once in each spacing, also when their checks fail.
    const auto nodes = static_cast<double>(hooks_.node_count());
    const duration first = times(check_spacing, patience_ * nodes);
    const duration next = times(check_spacing, (patience_ + 1. / 2) * nodes);
    return std::max(waits_from_ + times(interval_, node_checks_after) + first, last_check_ + next);
}

void store_freshness::schedule() {
    if (timer_)
        timers_.cancel(*std::exchange(timer_, std::nullopt));
    if (!is_needed_)
        return;
    const time_point due = std::min(ask_due(), check_due());
    timer_ = timers_.schedule_at(std::max(timers_.now(), due), [this] {
        timer_.reset();
        on_timer();
    });
}

void store_freshness::on_timer() {
    const time_point now = timers_.now();
    const bool asks = ask_due() <= now;
    const bool checks = check_due() <= now;
    if (asks) {
        last_ask_ = now;
        ++counts_.counter("store_watchers_asked");
        hooks_.ask_watcher(asks_++);
    }
    if (checks) {
        last_check_ = now;
        draw_patience();
        ++counts_.counter("store_checks");
        if (!hooks_.watcher_rank())
            log_.record(event_kind::store_confirmation_old, {}, {},
                        {{event_key::waited_ms, now - waits_from_}});
        hooks_.check_store();
    }
    schedule();
}

} // namespace pollengrade
