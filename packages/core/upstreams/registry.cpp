/** @file registry.cpp Order of updates by revision, and delayed removals after a store outage. */
#include "core/upstreams/registry.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

namespace pollengrade {

namespace {

/** Number of changes kept for peers that lag; a peer further behind is sent all entries. */
constexpr std::size_t max_changes = 1024;
/** Time for which a removed server is remembered; a store's copy is some seconds old. */
constexpr duration departure_retention = std::chrono::minutes{5};
constexpr std::size_t max_departures = 4096; ///< the oldest are forgotten first
constexpr std::string_view from_store = "store";
constexpr std::string_view from_peer = "peer";
constexpr std::string_view after_delay = "delay"; ///< a delayed removal that takes effect

} // namespace

registry::registry(timer_queue& timers, event_log& log, metrics& counts, changed_hook changed,
                   registry_settings settings)
    : timers_{timers}, log_{log}, counts_{counts}, changed_{std::move(changed)}, settings_{settings} {}

bool registry::advance(object_version revision) {
    const bool is_restored = revision_ != object_version{} && revision.era() > revision_.era();
    revision_ = revision;
    if (!is_restored)
        return false;
    // Peers in the earlier era must be sent all entries, and servers that the copy lacks register again.
    clear_changes();
    delay_removals_until_ = timers_.now() + reregistration_time;
    return true;
}

void registry::on_store_regained(duration silence) {
    // A server writes three times in the lifetime of an entry, so it had last written a third of it before
    // the silence, or little more.
    if (silence < settings_.entry_lifetime / 2)
        return;
    delay_removals_until_ = timers_.now() + reregistration_time;
}

void registry::replace(const object_list& list) {
    if (list.revision <= revision_)
        return;
    source_ = from_store;
    const bool is_first = revision_ == object_version{};
    const bool is_restored = advance(list.revision);
    std::set<std::string> listed;
    for (const stored_object& it : list.objects) {
        listed.insert(it.name);
        changed_at_ = std::max(changed_at_, it.version);
        if (const auto* entry = std::get_if<server_entry>(&it.content))
            put_listed(*entry, is_restored);
        else
            note_unreadable(it.name, it.version);
    }
    remove_unlisted(listed);
    if (is_first)
        clear_changes();
    log_.record(event_kind::registry_replaced, {}, "store",
                {{event_key::revision, revision_.value()}, {event_key::servers, entries_.size()}});
}

void registry::apply(const object_changes& changes) {
    // Changes of a later era do not continue the entries held: a list replaces these first.
    if (changes.revision <= revision_ || changes.revision.era() != revision_.era())
        return;
    source_ = from_store;
    revision_ = changes.revision;
    for (const object_change& it : changes.changes) {
        changed_at_ = std::max(changed_at_, it.object.version);
        // An update from a peer may already have brought a later version of the entry.
        const auto known = entries_.find(it.object.name);
        if (known != entries_.end() && it.object.version < known->second.version)
            continue;
        cancel_return(it.object.name);
        if (it.removed) {
            remove(it.object.name);
        } else if (const auto* entry = std::get_if<server_entry>(&it.object.content)) {
            put(*entry);
        } else {
            note_unreadable(it.object.name, it.object.version);
        }
    }
}

bool registry::take(const registry_update& other) {
    if (other.revision <= revision_)
        return false;
    source_ = from_peer;
    const bool is_first = revision_ == object_version{};
    const bool is_restored = advance(other.revision);
    std::set<std::string> listed;
    for (const registry_item& it : other.items) {
        const std::string& name = it.entry.name;
        changed_at_ = std::max(changed_at_, it.entry.version);
        if (it.state == entry_state::removed) {
            remove_now(name);
            continue;
        }
        listed.insert(name);
        put_listed(it.entry, is_restored);
        if (it.state == entry_state::removal_pending)
            delay_removal(name, timers_.now() +
                                    std::clamp(it.removal_delay_left, duration{0}, reregistration_time));
    }
    if (!other.is_whole)
        return true;
    remove_unlisted(listed);
    if (is_first)
        clear_changes();
    log_.record(event_kind::registry_replaced, {}, "peer",
                {{event_key::revision, revision_.value()}, {event_key::servers, entries_.size()}});
    return true;
}

void registry::remove_unlisted(const std::set<std::string>& listed) {
    std::vector<std::string> missing;
    for (const auto& [name, entry] : entries_) {
        if (!listed.contains(name))
            missing.push_back(name);
    }
    for (const std::string& name : missing)
        remove(name);
    for (auto it = pending_returns_.begin(); it != pending_returns_.end();) {
        const auto next = std::next(it);
        if (!listed.contains(it->first))
            cancel_return(it->first);
        it = next;
    }
}

void registry::clear_changes() {
    // Earlier removals are not known here: a peer at a lower revision must be sent all entries.
    changes_.clear();
    changes_from_ = revision_;
}

void registry::note_change(const server_entry& entry, entry_state state) {
    changed_at_ = std::max(changed_at_, revision_);
    changes_.emplace_back(revision_, registry_item{entry, state, reregistration_time});
    if (changes_.size() <= max_changes)
        return;
    changes_from_ = changes_.front().first;
    changes_.pop_front();
}

registry_item registry::item_of(const server_entry& entry, entry_state state) const {
    registry_item item{entry, state, reregistration_time};
    const auto pending = pending_removals_.find(entry.name);
    if (state == entry_state::removal_pending && pending != pending_removals_.end())
        item.removal_delay_left = std::max(duration{0}, pending->second.until - timers_.now());
    return item;
}

registry_update registry::update_after(object_version held) const {
    if (revision_ <= held)
        return {};
    registry_update update{revision_, held < changes_from_ || held == object_version{}, {}};
    if (update.is_whole) {
        for (const auto& [name, entry] : entries_)
            update.items.push_back(item_of(entry, pending_removals_.contains(name)
                                                      ? entry_state::removal_pending
                                                      : entry_state::present));
        return update;
    }
    for (const auto& [revision, item] : changes_) {
        if (revision > held)
            update.items.push_back(item_of(item.entry, item.state));
    }
    return update;
}

void registry::put(const server_entry& update) {
    server_entry entry = update;
    if (const auto known = entries_.find(entry.name); known != entries_.end()) {
        // A server that leaves does not come back in the same start; a store's copy may not know yet that it
        // leaves.
        const bool is_same_start = known->second.started_ms == entry.started_ms;
        entry.is_leaving = entry.is_leaving || (is_same_start && known->second.is_leaving);
    }
    departures_.erase(entry.name);
    const auto pending = pending_removals_.find(entry.name);
    const bool was_pending = pending != pending_removals_.end();
    if (was_pending) {
        timers_.cancel(pending->second.timer);
        pending_removals_.erase(pending);
    }
    unreadable_.erase(entry.name);
    const auto known = entries_.find(entry.name);
    if (known != entries_.end()) {
        if (known->second == entry) {
            if (was_pending) // Peers may have been sent the pending removal.
                note_change(entry, entry_state::present);
            return;
        }
        const bool is_restart = known->second.started_ms != entry.started_ms;
        if (is_restart)
            remove_now(entry.name);
    }
    const bool leaves_now =
        entry.is_leaving && (!entries_.contains(entry.name) || !entries_.at(entry.name).is_leaving);
    if (leaves_now)
        log_left(entry, entry_state::present, {});
    entries_[entry.name] = entry;
    note_change(entry, entry_state::present);
    changed_(entry, false);
}

void registry::put_listed(const server_entry& entry, bool is_restored) {
    const auto left = departures_.find(entry.name);
    const bool had_left = left != departures_.end() && left->second.started_ms == entry.started_ms;
    if (!had_left || (!is_restored && !pending_returns_.contains(entry.name))) {
        put(entry);
        return;
    }
    if (pending_returns_.contains(entry.name))
        return;
    ++counts_.counter("returns_delayed");
    const duration delay = settings_.entry_lifetime + reregistration_time;
    pending_returns_[entry.name] = timers_.schedule_after(delay, [this, entry] {
        pending_returns_.erase(entry.name);
        put(entry);
    });
}

void registry::cancel_return(const std::string& name) {
    const auto pending = pending_returns_.find(name);
    if (pending == pending_returns_.end())
        return;
    timers_.cancel(pending->second);
    pending_returns_.erase(pending);
}

void registry::note_departure(const server_entry& entry) {
    const time_point now = timers_.now();
    std::erase_if(departures_, [now](const auto& it) { return it.second.at + departure_retention < now; });
    if (departures_.size() >= max_departures)
        departures_.erase(
            std::min_element(departures_.begin(), departures_.end(),
                             [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
    departures_[entry.name] = {entry.started_ms, now};
}

void registry::remove(const std::string& name) {
    unreadable_.erase(name);
    if (timers_.now() < delay_removals_until_)
        delay_removal(name, delay_removals_until_);
    else
        remove_now(name);
}

void registry::delay_removal(const std::string& name, time_point until) {
    const auto known = entries_.find(name);
    if (known == entries_.end() || pending_removals_.contains(name))
        return;
    ++counts_.counter("removals_doubted");
    note_change(known->second, entry_state::removal_pending);
    log_left(known->second, entry_state::removal_pending, until - timers_.now());
    const timer_id timer = timers_.schedule_at(until, [this, name] {
        pending_removals_.erase(name);
        source_ = after_delay;
        remove_now(name);
    });
    pending_removals_[name] = {timer, until};
}

void registry::remove_now(const std::string& name) {
    if (const auto pending = pending_removals_.find(name); pending != pending_removals_.end()) {
        timers_.cancel(pending->second.timer);
        pending_removals_.erase(pending);
    }
    const auto node = entries_.extract(name);
    if (node.empty())
        return;
    note_change(node.mapped(), entry_state::removed);
    note_departure(node.mapped());
    log_left(node.mapped(), entry_state::removed, {});
    changed_(node.mapped(), true);
}

void registry::log_left(const server_entry& entry, entry_state state, duration delay) {
    constexpr std::array<std::string_view, 3> names{"draining", "removal_pending", "removed"};
    log_.record(event_kind::registry_entry_left, {}, id_of(entry).value(),
                {{event_key::from, source_},
                 {event_key::state, names.at(static_cast<std::size_t>(state))},
                 {event_key::revision, revision_.value()},
                 {event_key::waited_ms, delay}});
}

void registry::note_unreadable(const std::string& name, object_version version) {
    // A readable entry that becomes unreadable is kept, because its server may still run. An entry that was
    // never readable describes no server.
    ++counts_.counter("entries_unreadable");
    if (std::exchange(unreadable_[name], version) != version)
        log_.record(event_kind::entries_unreadable, {}, name, {{event_key::revision, version.value()}});
}

} // namespace pollengrade
