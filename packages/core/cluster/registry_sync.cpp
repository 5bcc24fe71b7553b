/** @file registry_sync.cpp Decides when to pull the registry from peers. */
#include "core/cluster/registry_sync.h"

#include <utility>

namespace pollengrade {

namespace {

constexpr duration turn_period =
    std::chrono::milliseconds{300}; ///< interval between pulls while the store does not answer
constexpr duration feed_time = std::chrono::milliseconds{900}; ///< time in which a working watch catches up

} // namespace

registry_sync::registry_sync(timer_queue& timers, metrics& counts, registry& servers,
                             registry_sync_hooks hooks)
    : timers_{timers}, counts_{counts}, servers_{servers}, hooks_{std::move(hooks)} {}

void registry_sync::on_store_reached(bool reached) {
    if (std::exchange(reached_, reached) == reached)
        return;
    if (reached) {
        servers_.on_store_regained();
        return;
    }
    if (!turn_)
        ask_in_turn();
}

void registry_sync::ask_in_turn() {
    turn_.reset();
    if (reached_)
        return;
    if (const auto peer = hooks_.draw())
        ask(*peer);
    turn_ = timers_.schedule_after(turn_period, [this] { ask_in_turn(); });
}

void registry_sync::on_gossip(const gossip_message& from) {
    if (from.registry_changed <= servers_.revision() || doubt_)
        return;
    const node_address peer = from.sender.address;
    if (!reached_ || !fed_) {
        ask(peer);
        return;
    }
    doubt_ = timers_.schedule_after(feed_time, [this, peer, seen = from.registry_changed] {
        doubt_.reset();
        if (servers_.revision() < seen)
            ask(peer);
    });
}

void registry_sync::ask(const node_address& peer) {
    if (std::exchange(asking_, true))
        return;
    ++counts_.counter("registry_pulls_sent");
    hooks_.pull(peer, servers_.revision(), [this](const std::optional<registry_update>& other) {
        asking_ = false;
        if (!other || !servers_.take(*other))
            return;
        ++counts_.counter("registry_pulls_used");
        hooks_.taken();
    });
}

} // namespace pollengrade
