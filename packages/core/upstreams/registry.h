/** @file registry.h The registered servers, as of one revision of the platform's store. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/base/event_log.h"
#include "core/base/metrics.h"
#include "core/base/timer_queue.h"
#include "core/config/object_type.h"
#include "core/config/server_entry.h"

namespace pollengrade {

/** State of an entry in the registry. */
enum class entry_state : std::uint8_t {
    present,         ///< in the store
    removal_pending, ///< gone from the store; still used in case its server registers again
    removed,         ///< removed, and no longer used
};

/** Delay of removals after a store outage: live servers register again within two seconds of its end. */
constexpr duration reregistration_time = std::chrono::milliseconds{2500};

/** Timing of a registration. */
struct registry_settings {
    /** Time without a sign of life after which the store removes a server's entry. */
    duration entry_lifetime = std::chrono::milliseconds{3600};
};

/** One entry, as nodes exchange it. */
struct registry_item {
    server_entry entry;                       ///< the entry; its last content if it was removed
    entry_state state = entry_state::present; ///< its state
    /** For a pending removal: time until the entry is removed. */
    duration removal_delay_left = reregistration_time;
};

/** Update from one node to another: all entries, or the changes since a revision. */
struct registry_update {
    object_version revision;          ///< the store's revision after the update; 0 for an empty update
    bool is_whole = false;            ///< whether it lists all entries; entries not listed are removed
    std::vector<registry_item> items; ///< the entries
};

/**
 * Keeps the latest entry of each server. All nodes order updates by the store's revision: an update of a
 * lower or equal revision is ignored, whatever its source, so a peer that lags cannot bring back a removed
 * server.
 *
 * Removals received right after a store outage take effect only after a delay: entries expire during the
 * outage, and live servers register again.
 *
 * If the store comes back from a copy, the copy may hold entries of servers that have left since, and lack
 * those of new servers. New servers register again, so their removals are delayed. An entry that was removed
 * before is used again only if its server shows that it lives: it writes the entry, or the entry outlasts the
 * time after which the store removes one without a sign of life.
 */
class registry {
public:
    /** Called for each change: the entry, and whether it was removed. */
    using changed_hook = std::function<void(const server_entry&, bool removed)>;

    registry(timer_queue& timers, event_log& log, metrics& counts, changed_hook changed,
             registry_settings settings = {});

    /** Replaces all entries by a list read from the store, unless its revision is not newer. */
    void replace(const object_list& list);
    /** Applies changes read from the store, unless their revision is not newer. */
    void apply(const object_changes& changes);
    /** Applies an update from a peer. @return whether its revision was newer than the local one */
    bool take(const registry_update& other);
    /**
     * Called when the store answers again: delays removals received from now on, unless no entry can have
     * expired for want of a store.
     * @param silence time since the store was last known to answer
     */
    void on_store_regained(duration silence);

    /** @return the changes that a peer at revision @p held lacks, or all entries; empty if it lacks none. */
    [[nodiscard]] registry_update update_after(object_version held) const;
    /** @return the current revision; 0 for none. */
    [[nodiscard]] object_version revision() const noexcept { return revision_; }
    /** @return the revision of the latest known change of an entry. */
    [[nodiscard]] object_version changed_at() const noexcept { return changed_at_; }
    [[nodiscard]] const std::map<std::string, server_entry>& entries() const noexcept { return entries_; }

private:
    /** A removal that has not taken effect yet. */
    struct pending_removal {
        timer_id timer;   ///< carries out the removal
        time_point until; ///< when the timer fires
    };

    /** A server that was removed. */
    struct departure {
        std::int64_t started_ms = 0; ///< which start of the server
        time_point at{};             ///< when it was removed
    };

    /** Moves to a revision from the store or a peer. @return whether it belongs to a later era */
    bool advance(object_version revision);
    void put(const server_entry& update);
    /** Puts an entry of a list, unless its server left and the entry is only part of the store's copy. */
    void put_listed(const server_entry& entry, bool is_restored);
    void cancel_return(const std::string& name);
    void note_departure(const server_entry& entry);
    void remove(const std::string& name);
    void delay_removal(const std::string& name, time_point until);
    void remove_now(const std::string& name);
    void remove_unlisted(const std::set<std::string>& listed);
    void clear_changes();
    void note_change(const server_entry& entry, entry_state state);
    /** Logs that an entry reads draining or is gone. @param delay time until the removal takes effect */
    void log_left(const server_entry& entry, entry_state state, duration delay);
    /** @return an entry or a change in the form sent to peers now. */
    [[nodiscard]] registry_item item_of(const server_entry& entry, entry_state state) const;
    void note_unreadable(const std::string& name, object_version version);

    timer_queue& timers_;                                     ///< the clock
    event_log& log_;                                          ///< the event log
    metrics& counts_;                                         ///< the counters
    changed_hook changed_;                                    ///< see changed_hook
    registry_settings settings_;                              ///< timing
    object_version revision_;                                 ///< see revision()
    std::string_view source_;                                 ///< where the current update is from
    object_version changed_at_;                               ///< see changed_at()
    std::map<std::string, server_entry> entries_;             ///< by name
    std::map<std::string, pending_removal> pending_removals_; ///< by name
    std::map<std::string, departure> departures_;             ///< recently removed servers, by name
    std::map<std::string, timer_id> pending_returns_;         ///< see put_listed(), by name
    std::map<std::string, object_version> unreadable_; ///< versions of unreadable entries, to log each once
    /** Recent changes, with the revision that brought each. */
    std::deque<std::pair<object_version, registry_item>> changes_;
    object_version changes_from_;       ///< a peer at a lower revision is sent all entries
    time_point delay_removals_until_{}; ///< removals received before this time are delayed until then
};

} // namespace pollengrade
