/** @file registry.h The servers that there are, as of one revision of the platform's store. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/config/object_type.h"
#include "core/config/server_entry.h"

namespace pollengrade {

/** How much of an entry is believed. */
enum class entry_state : std::uint8_t {
    present,         ///< in the store
    removal_pending, ///< gone from the store, maybe only for as long as its server takes to write it again
    removed,         ///< gone
};

/** Servers that live have written their entries again within two seconds of the store's return. */
constexpr duration reregistration_time = std::chrono::milliseconds{2500};

/** One entry, as nodes give it to each other. */
struct registry_item {
    server_entry entry;                                ///< the entry, or what it was last
    entry_state state = entry_state::present;          ///< how much of it is believed
    duration removal_delay_left = reregistration_time; ///< for a doubted one: after this it counts as removed
};

/** What one node tells another: all entries, or what has changed since a revision. */
struct registry_update {
    object_version revision;          ///< the store's revision that it leads to; 0 for nothing
    bool is_whole = false;            ///< all entries; what is not among them is removed
    std::vector<registry_item> items; ///< entries
};

/**
 * Keeps the latest entry of each server. The store's revision is the one order of all nodes: a snapshot of a
 * lower or equal revision, from wherever it comes, changes nothing, so a peer that lags cannot bring back a
 * server that was removed.
 *
 * Removals that are learned right after the store has come back are believed only after a while: entries
 * lapse while it is away, and servers that live write them again.
 */
class registry {
public:
    /** Sees each change of what is believed: the entry, and whether it is gone. */
    using changed_hook = std::function<void(const server_entry&, bool removed)>;

    registry(timer_queue& timers, event_log& log, metrics& counts, changed_hook changed);

    /** Takes all entries as of a revision. */
    void replace(const object_list& list);
    /** Takes changes since the revision held. */
    void apply(const object_changes& changes);
    /** Takes what a peer tells. @return whether it was later than what was held */
    bool take(const registry_update& other);
    /** The store answers again after it did not for a while. */
    void on_store_regained();

    /** @return what a peer lacks that holds a revision: the changes since, or all; nothing when it lacks
     * none. */
    [[nodiscard]] registry_update update_after(object_version held) const;
    /** @return the revision held; 0 for none. */
    [[nodiscard]] object_version revision() const noexcept { return revision_; }
    /** @return the revision of the latest change of an entry that is known. */
    [[nodiscard]] object_version changed_at() const noexcept { return changed_at_; }
    [[nodiscard]] const std::map<std::string, server_entry>& entries() const noexcept { return entries_; }

private:
    /** A removal that is not believed yet. */
    struct pending_removal {
        timer_id timer;   ///< fires at its end
        time_point until; ///< its end
    };

    void put(const server_entry& entry);
    void remove(const std::string& name);
    void delay_removal(const std::string& name, time_point until);
    void remove_now(const std::string& name);
    void remove_unlisted(const std::set<std::string>& listed);
    void clear_changes();
    void note_change(const server_entry& entry, entry_state state);
    /** @return an entry or its change as it is told now. */
    [[nodiscard]] registry_item item_of(const server_entry& entry, entry_state state) const;
    void note_unreadable(const std::string& name, object_version version);

    timer_queue& timers_;                                     ///< the clock
    event_log& log_;                                          ///< the event log
    metrics& counts_;                                         ///< the counters
    changed_hook changed_;                                    ///< see changed_hook
    object_version revision_;                                 ///< see revision()
    object_version changed_at_;                               ///< see changed_at()
    std::map<std::string, server_entry> entries_;             ///< by name
    std::map<std::string, pending_removal> pending_removals_; ///< removals not believed yet
    std::map<std::string, object_version> unreadable_;        ///< entries that name no server, told once each
    std::deque<std::pair<object_version, registry_item>>
        changes_;                       ///< of late, by the revision that brought them
    object_version changes_from_;       ///< a peer that holds less is told all
    time_point delay_removals_until_{}; ///< removals learned before this are doubted until then
};

} // namespace pollengrade
