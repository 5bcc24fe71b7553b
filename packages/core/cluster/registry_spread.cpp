/** @file registry_spread.cpp When peers are asked. */
#include "core/cluster/registry_spread.h"

#include <utility>

namespace pollengrade {

namespace {

constexpr duration turn_period =
    std::chrono::milliseconds{300};                            ///< between two peers asked without the store
constexpr duration feed_time = std::chrono::milliseconds{900}; ///< a working feed has caught up by then

} // namespace

registry_spread::registry_spread(timer_queue& timers, metrics& counts, registry& servers,
                                 registry_spread_hooks hooks)
    : timers_{timers}, counts_{counts}, servers_{servers}, hooks_{std::move(hooks)} {}

void registry_spread::on_store_reached(bool reached) {
    if (std::exchange(reached_, reached) == reached)
        return;
    if (reached) {
        servers_.on_store_regained();
        return;
    }
    if (!turn_)
        ask_in_turn();
}

void registry_spread::ask_in_turn() {
    turn_.reset();
    if (reached_)
        return;
    if (const auto peer = hooks_.draw())
        ask(*peer);
    turn_ = timers_.schedule_after(turn_period, [this] { ask_in_turn(); });
}

void registry_spread::on_greeting(const greeting& from) {
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

void registry_spread::ask(const node_address& peer) {
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
