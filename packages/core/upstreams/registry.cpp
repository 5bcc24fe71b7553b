/** @file registry.cpp Order by revision, and doubt of removals after an outage. */
#include "core/upstreams/registry.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pollengrade {

namespace {

/** Servers that live have written their entries again within two seconds of the store's return. */
constexpr duration rewrite_time = std::chrono::milliseconds{2500};

} // namespace

registry::registry(timer_queue& timers, event_log& log, metrics& counts, changed_hook changed)
    : timers_{timers}, log_{log}, counts_{counts}, changed_{std::move(changed)} {}

void registry::on_store_regained() {
    doubt_until_ = timers_.now() + rewrite_time;
}

void registry::replace(const object_list& list) {
    if (list.revision <= revision_)
        return;
    revision_ = list.revision;
    std::set<std::string> listed;
    for (const stored_object& it : list.objects) {
        listed.insert(it.name);
        changed_at_ = std::max(changed_at_, it.version);
        if (const auto* entry = std::get_if<server_entry>(&it.content))
            put(*entry);
        else
            note_unreadable(it.name, it.version);
    }
    std::vector<std::string> missing;
    for (const auto& [name, entry] : entries_) {
        if (!listed.contains(name))
            missing.push_back(name);
    }
    for (const std::string& name : missing)
        remove(name, false);
    log_.record(event_kind::registry_replaced, {}, "store",
                {{event_key::revision, revision_.value()}, {event_key::servers, entries_.size()}});
}

void registry::apply(const object_changes& changes) {
    if (changes.revision <= revision_)
        return;
    revision_ = changes.revision;
    for (const object_change& it : changes.changes) {
        changed_at_ = std::max({changed_at_, it.object.version});
        if (it.removed) {
            changed_at_ = std::max(changed_at_, changes.revision);
            remove(it.object.name, false);
        } else if (const auto* entry = std::get_if<server_entry>(&it.object.content)) {
            put(*entry);
        } else {
            note_unreadable(it.object.name, it.object.version);
        }
    }
}

bool registry::take(const registry_snapshot& other) {
    if (other.revision <= revision_)
        return false;
    revision_ = other.revision;
    std::set<std::string> listed;
    for (const server_entry& it : other.entries) {
        listed.insert(it.name);
        changed_at_ = std::max(changed_at_, it.version);
        put(it);
    }
    std::vector<std::string> missing;
    for (const auto& [name, entry] : entries_) {
        if (!listed.contains(name))
            missing.push_back(name);
    }
    for (const std::string& name : missing)
        remove(name, true);
    if (!missing.empty())
        changed_at_ = std::max(changed_at_, revision_);
    log_.record(event_kind::registry_replaced, {}, "peer",
                {{event_key::revision, revision_.value()}, {event_key::servers, entries_.size()}});
    return true;
}

void registry::put(const server_entry& entry) {
    if (const auto pending = doubted_.find(entry.name); pending != doubted_.end()) {
        timers_.cancel(pending->second);
        doubted_.erase(pending);
    }
    unreadable_.erase(entry.name);
    const auto known = entries_.find(entry.name);
    if (known != entries_.end()) {
        if (known->second == entry)
            return;
        const bool is_restart = known->second.started_ms != entry.started_ms;
        if (is_restart)
            remove_now(entry.name);
    }
    entries_[entry.name] = entry;
    changed_(entry, false);
}

void registry::remove(const std::string& name, bool is_believed) {
    unreadable_.erase(name);
    if (!entries_.contains(name) || doubted_.contains(name))
        return;
    if (is_believed || timers_.now() >= doubt_until_) {
        remove_now(name);
        return;
    }
    ++counts_.counter("removals_doubted");
    doubted_[name] = timers_.schedule_at(doubt_until_, [this, name] {
        doubted_.erase(name);
        remove_now(name);
    });
}

void registry::remove_now(const std::string& name) {
    const auto node = entries_.extract(name);
    if (!node.empty())
        changed_(node.mapped(), true);
}

void registry::note_unreadable(const std::string& name, object_version version) {
    // A server whose entry turns unreadable is not known to be gone; one that never was readable names none.
    ++counts_.counter("entries_unreadable");
    if (std::exchange(unreadable_[name], version) != version)
        log_.record(event_kind::entries_unreadable, {}, name, {{event_key::revision, version.value()}});
}

registry_snapshot registry::snapshot() const {
    registry_snapshot it{revision_, {}};
    for (const auto& [name, entry] : entries_) {
        if (!doubted_.contains(name))
            it.entries.push_back(entry);
    }
    return it;
}

} // namespace pollengrade
