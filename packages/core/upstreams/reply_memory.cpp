/** @file reply_memory.cpp Admission of large replies, and which reply is given up. */
#include "core/upstreams/reply_memory.h"

#include <algorithm>
#include <utility>

namespace pollengrade {

namespace {

constexpr std::size_t node_memory_part = 4;                      ///< one part in so many is for replies
constexpr std::size_t small_body_bytes = std::size_t{64} * 1024; ///< a smaller body never waits
/** Admitted bodies take three quarters of the limit at most; the rest stays free for small ones. */
constexpr std::size_t admitted_parts = 3;
constexpr std::size_t limit_parts = 4;
/** Silence of a server after which its reply must not keep others waiting. */
constexpr duration stall_time = std::chrono::milliseconds{250};

} // namespace

std::size_t reply_memory_limit(std::size_t node_memory) {
    return node_memory / node_memory_part;
}

reply_memory::reply_memory(std::size_t limit, timer_queue& timers, event_log& log, metrics& counts,
                           reply_memory_hooks hooks)
    : limit_{limit}, timers_{timers}, log_{log}, counts_{counts}, hooks_{std::move(hooks)} {}

reply_memory::~reply_memory() {
    if (stall_check_)
        timers_.cancel(*stall_check_);
}

bool reply_memory::on_bytes(connection_id id, const reply_extent& extent) {
    open_reply& it = replies_[id];
    it.extent = extent;
    it.last_bytes = timers_.now();
    if (it.state == admission::as_it_comes && extent.body_bytes.value_or(0) > small_body_bytes)
        admit_or_wait(id, it);
    update_count(it);
    give_up_excess();
    const auto kept = replies_.find(id);
    return kept != replies_.end() && kept->second.state != admission::waiting;
}

void reply_memory::end(connection_id id) {
    if (!remove(id))
        return;
    admit_waiting();
    give_up_excess();
}

bool reply_memory::remove(connection_id id) {
    const auto node = replies_.extract(id);
    if (node.empty())
        return false;
    const open_reply& it = node.mapped();
    counted_ -= it.counted;
    reserved_ -= it.reserved;
    if (it.state == admission::waiting)
        std::erase(waiting_, id);
    return true;
}

std::size_t reply_memory::open_reply::largest_size() const {
    return extent.held + extent.body_bytes.value_or(0);
}

bool reply_memory::has_room_for(const open_reply& it) const {
    return reserved_ + it.largest_size() <= limit_ / limit_parts * admitted_parts;
}

void reply_memory::admit_or_wait(connection_id id, open_reply& it) {
    if (waiting_.empty() && has_room_for(it)) {
        admit(it);
        return;
    }
    it.state = admission::waiting;
    waiting_.push_back(id);
    ++counts_.counter("replies_waited");
    arm_stall_check();
}

void reply_memory::admit(open_reply& it) {
    it.state = admission::admitted;
    it.last_bytes = timers_.now();
    it.reserved = it.largest_size();
    reserved_ += it.reserved;
}

void reply_memory::update_count(open_reply& it) {
    const std::size_t count = std::max(it.extent.held, it.reserved);
    counted_ += count - it.counted; // Unsigned, and right also if the count falls.
    it.counted = count;
}

void reply_memory::admit_waiting() {
    while (!waiting_.empty()) {
        const connection_id id = waiting_.front();
        open_reply& it = replies_.at(id);
        if (!has_room_for(it))
            return;
        waiting_.pop_front();
        admit(it);
        update_count(it);
        hooks_.resume(id);
    }
}

const reply_memory::entry* reply_memory::first_to_give_up() const {
    // Without a stated length first, then by what they hold.
    const auto rank = [](const open_reply& it) {
        return std::pair{!it.extent.body_bytes.has_value(), it.counted};
    };
    const entry* first = nullptr;
    for (const entry& it : replies_) {
        const bool is_candidate = it.second.state != admission::admitted && it.second.counted > 0;
        if (is_candidate && (first == nullptr || rank(it.second) > rank(first->second)))
            first = &it;
    }
    return first;
}

void reply_memory::give_up_excess() {
    while (counted_ > limit_) {
        const entry* first = first_to_give_up();
        if (first == nullptr)
            return;
        give_up(*first, first->second.extent.body_bytes ? "no_room" : "no_length");
    }
}

const reply_memory::entry* reply_memory::longest_stalled() const {
    const time_point latest = timers_.now() - stall_time;
    const entry* longest = nullptr;
    for (const entry& it : replies_) {
        const bool is_stalled = it.second.state == admission::admitted && it.second.last_bytes <= latest;
        if (is_stalled && (longest == nullptr || it.second.last_bytes < longest->second.last_bytes))
            longest = &it;
    }
    return longest;
}

void reply_memory::give_up_stalled() {
    while (!waiting_.empty() && !has_room_for(replies_.at(waiting_.front()))) {
        const entry* stalled = longest_stalled();
        if (stalled == nullptr)
            break;
        give_up(*stalled, "stalled");
    }
    admit_waiting();
}

void reply_memory::give_up(const entry& which, std::string_view cause) {
    const connection_id id = which.first;
    const reply_origin origin = hooks_.origin_of(id);
    ++counts_.counter("replies_given_up", cause);
    log_.record(event_kind::reply_given_up, origin.request, origin.server.value(),
                {{event_key::cause, cause},
                 {event_key::held_bytes, which.second.extent.held},
                 {event_key::all_bytes, counted_},
                 {event_key::limit_bytes, limit_}});
    remove(id);
    hooks_.give_up(id);
}

void reply_memory::arm_stall_check() {
    if (stall_check_)
        return;
    stall_check_ = timers_.schedule_after(stall_time, [this] {
        stall_check_.reset();
        give_up_stalled();
        if (!waiting_.empty())
            arm_stall_check();
    });
}

} // namespace pollengrade
