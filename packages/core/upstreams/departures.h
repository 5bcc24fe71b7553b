/** @file departures.h Remembers the servers that stated in a reply that they leave. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace pollengrade {

inline constexpr std::size_t max_departures_told = 512; ///< in one message between nodes, the newest

/** A server that stated that it leaves, as nodes tell each other. */
struct departed_server {
    upstream_id id; ///< the server, in one of its starts
    duration age{}; ///< time since it stated it, as far as known
};

/** Departures that another node may not know, and up to where they go. */
struct departure_news {
    std::vector<departed_server> servers; ///< newest first
    std::uint64_t up_to = 0;              ///< for the next call of departures::after()
};

/**
 * Servers that stated in a reply that they leave, also removed ones: an entry may come back, from a store or
 * a peer that does not know yet. An ID belongs to one start of a server, so a departure is never taken back.
 * It is forgotten some minutes after the node has lost its server, or when too many are known: the one noted
 * longest ago goes first.
 */
class departures {
public:
    /** @param is_known returns whether the node still knows a server */
    explicit departures(std::function<bool(const upstream_id&)> is_known) : is_known_{std::move(is_known)} {}

    /** Records a server's statement. @param at when it was stated */
    void note(const upstream_id& id, time_point now, time_point at);
    /** Called when the node loses a server: its departure is kept for some minutes from now. */
    void on_removed(const upstream_id& id, time_point now);
    [[nodiscard]] bool contains(const upstream_id& id) const { return known_.contains(id); }
    /** @return when the statement was made last. @pre contains(id) */
    [[nodiscard]] time_point stated_at(const upstream_id& id) const { return known_.at(id).at; }

    /** @return the servers whose statement was noted at or after a time, newest first. */
    [[nodiscard]] std::vector<departed_server> since(time_point noted, time_point now) const;
    /** @return the servers noted after those of an earlier call. @param up_to see departure_news; 0 for all
     */
    [[nodiscard]] departure_news after(std::uint64_t up_to, time_point now) const;

private:
    /** One server's statement. */
    struct departure {
        time_point at{};          ///< when it was stated last
        time_point noted{};       ///< when this node learned that
        time_point last_known{};  ///< when the node noted it or lost its server
        std::uint64_t number = 0; ///< rises with each server noted
    };

    void forget_old(time_point now);
    void forget_first_noted();

    std::function<bool(const upstream_id&)> is_known_; ///< see departures()
    std::map<upstream_id, departure> known_;           ///< by ID
    std::map<std::uint64_t, upstream_id> by_number_;   ///< the same, oldest first
    std::uint64_t next_number_ = 1;                    ///< number of the next server
};

} // namespace pollengrade
