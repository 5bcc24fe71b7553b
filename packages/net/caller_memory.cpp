/** @file caller_memory.cpp Which caller's bytes are released when there are too many. */
#include "net/caller_memory.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace pollengrade {

namespace {

constexpr std::size_t node_memory_part = 4;                ///< one part in so many is for callers
constexpr std::size_t small_bytes = std::size_t{4} * 1024; ///< less is not counted
constexpr std::size_t run_part = 2; ///< one part of the limit in so many is for requests at servers

std::string_view to_string(holding_kind it) {
    switch (it) {
    case holding_kind::request:
        return "request";
    case holding_kind::run:
        return "run";
    case holding_kind::reply:
        break;
    }
    return "reply";
}

} // namespace

std::size_t caller_memory_limit(std::size_t node_memory) {
    return node_memory / node_memory_part;
}

bool memory_holding::set(holding_kind kind, std::size_t bytes) {
    if (bytes < small_bytes) {
        clear();
        return true;
    }
    return owner_.change(*this, kind, bytes);
}

void memory_holding::set_progress(std::size_t done, std::size_t total) {
    // The first byte counts as done, so that nothing is divided by zero.
    part_done_ =
        total > 0 ? static_cast<double>(std::max<std::size_t>(done, 1)) / static_cast<double>(total) : 1;
}

void memory_holding::clear() {
    if (bytes_ > 0)
        owner_.remove(*this);
}

bool caller_memory::change(memory_holding& it, holding_kind kind, std::size_t bytes) {
    if (it.bytes_ > 0 && it.kind_ != kind)
        remove(it);
    if (kind == holding_kind::run && counted_for_runs_ + bytes > limit_ / run_part) {
        ++counts_.counter("callers_given_up", to_string(kind));
        remove(it);
        return false;
    }
    if (it.bytes_ == 0) {
        it.since_ = timers_.now();
        it.part_done_ = 1;
    }
    it.kind_ = kind;
    counted_ += bytes - it.bytes_; // Unsigned, and right also if the count falls.
    if (kind == holding_kind::run)
        counted_for_runs_ += bytes - it.bytes_;
    it.bytes_ = bytes;
    holdings_.insert(&it);
    return make_room(it);
}

void caller_memory::remove(memory_holding& it) {
    counted_ -= it.bytes_;
    if (it.kind_ == holding_kind::run)
        counted_for_runs_ -= it.bytes_;
    it.bytes_ = 0;
    holdings_.erase(&it);
}

double caller_memory::cost_of(const memory_holding& it) const {
    const auto held = static_cast<double>((timers_.now() - it.since_).count());
    return static_cast<double>(it.bytes_) * held / it.part_done_;
}

memory_holding* caller_memory::most_costly() const {
    memory_holding* first = nullptr;
    const auto rank = [this](const memory_holding& it) { return std::pair{cost_of(it), it.bytes_}; };
    for (memory_holding* it : holdings_) {
        if (it->kind_ != holding_kind::run && (first == nullptr || rank(*it) > rank(*first)))
            first = it;
    }
    return first;
}

bool caller_memory::make_room(memory_holding& asking) {
    while (counted_ > limit_) {
        memory_holding* first = most_costly();
        if (first == nullptr)
            return true;
        ++counts_.counter("callers_given_up", to_string(first->kind_));
        remove(*first);
        if (first == &asking)
            return false;
        first->give_up_();
    }
    return true;
}

} // namespace pollengrade
