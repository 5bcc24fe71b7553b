/** @file registry_sync.cpp Decides when to pull the registry from peers. */
#include "core/cluster/registry_sync.h"

#include <utility>

namespace pollengrade {

namespace {

constexpr duration pull_interval =
    std::chrono::milliseconds{300}; ///< interval between pulls while the store does not answer
constexpr duration watch_catch_up_time =
    std::chrono::milliseconds{900}; ///< time in which a working watch catches up

} // namespace

registry_sync::registry_sync(timer_queue& timers, metrics& counts, registry& servers,
                             registry_sync_hooks hooks)
    : timers_{timers}, counts_{counts}, servers_{servers}, hooks_{std::move(hooks)} {}

void registry_sync::on_store_reached(bool reached) {
    const time_point answered_before = last_answer_;
    if (reached)
        last_answer_ = timers_.now();
    if (std::exchange(reached_, reached) == reached)
        return;
    if (reached) {
        servers_.on_store_regained(timers_.now() - answered_before);
        return;
    }
    if (!pull_timer_)
        pull_periodically();
}

void registry_sync::pull_periodically() {
    pull_timer_.reset();
    if (reached_)
        return;
    if (const auto peer = hooks_.draw())
        pull(*peer);
    pull_timer_ = timers_.schedule_after(pull_interval, [this] { pull_periodically(); });
}

void registry_sync::on_gossip(const gossip_message& from) {
    if (from.knowledge.registry_changed <= servers_.revision() || lag_check_timer_)
        return;
    const node_address peer = from.sender.address;
    if (!reached_ || !watching_store_) {
        pull(peer);
        return;
    }
    lag_check_timer_ =
        timers_.schedule_after(watch_catch_up_time, [this, peer, seen = from.knowledge.registry_changed] {
            lag_check_timer_.reset();
            if (servers_.revision() < seen)
                pull(peer);
        });
}

void registry_sync::pull(const node_address& peer) {
    if (std::exchange(pulling_, true))
        return;
    ++counts_.counter("registry_pulls_sent");
    hooks_.pull(peer, servers_.revision(), [this](const std::optional<registry_update>& other) {
        pulling_ = false;
        if (!other || !servers_.take(*other))
            return;
        ++counts_.counter("registry_pulls_used");
        hooks_.update_applied();
    });
}

} // namespace pollengrade
