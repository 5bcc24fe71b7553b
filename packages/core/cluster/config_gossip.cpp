/** @file config_gossip.cpp Pushes updates to peers; pulls when digests differ. */
#include "core/cluster/config_gossip.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pollengrade {

namespace {

constexpr std::uint32_t max_pull_retries = 3; ///< pulls from other peers after a failed one
constexpr duration local_gossip_time =
    std::chrono::milliseconds{700}; ///< time in which an update reaches all nodes of a domain

} // namespace

config_gossip::config_gossip(timer_queue& timers, config_store& store, metrics& counts,
                             std::size_t push_fanout, config_gossip_hooks hooks)
    : timers_{timers}, store_{store}, counts_{counts}, push_fanout_{push_fanout}, hooks_{std::move(hooks)} {}

void config_gossip::take(const std::vector<config_entry>& entries) {
    std::vector<config_entry> updates;
    for (const config_entry& it : entries) {
        const offer_result result = store_.offer(it);
        if (result == offer_result::rejected)
            ++counts_.counter("config_rejected");
        if (result != offer_result::stale)
            updates.push_back(it);
        else if (const object_version held = store_.version_of(it.key); it.version < held)
            hooks_.outdated(it, held);
    }
    if (updates.empty())
        return;
    for (const node_address& it :
         local_first_ ? hooks_.random_local_peers(push_fanout_) : hooks_.random_peers(push_fanout_)) {
        ++counts_.counter("config_pushes_sent");
        hooks_.push(it, updates);
    }
}

void config_gossip::on_gossip(const gossip_message& from) {
    if (!lacks(from))
        return;
    // A node that lacks configuration cannot serve requests, so it pulls from any failure domain.
    if (!local_first_ || !complete_ || !hooks_.is_cross_domain(from.sender.address)) {
        begin_pull(from.sender.address);
        return;
    }
    if (remote_check_timer_)
        return;
    remote_check_timer_ = timers_.schedule_after(local_gossip_time, [this, from] {
        remote_check_timer_.reset();
        if (lacks(from))
            begin_pull(from.sender.address);
    });
}

bool config_gossip::lacks(const gossip_message& from) const {
    return from.knowledge.config_digest != store_.digest() || (from.config_complete && !complete_);
}

void config_gossip::begin_pull(const node_address& from) {
    if (!pulling_)
        retries_left_ = max_pull_retries;
    pull(from);
}

void config_gossip::pull_from(const node_address& peer) {
    if (pulling_)
        next_pull_ = peer;
    else
        begin_pull(peer);
}

void config_gossip::pull_from_peers() {
    for (const node_address& it : local_first_ ? hooks_.random_local_peers(1) : hooks_.random_peers(1))
        pull(it);
}

void config_gossip::pull(const node_address& from) {
    if (std::exchange(pulling_, true))
        return;
    ++counts_.counter("config_pulls_sent");
    hooks_.pull(from, known(), [this](const std::optional<pull_reply>& reply) {
        pulling_ = false;
        if (reply) {
            take(reply->entries);
            if (reply->complete && !std::exchange(complete_, true))
                hooks_.completed();
        }
        if (const auto next = std::exchange(next_pull_, std::nullopt)) {
            begin_pull(*next);
        } else if (!reply && retries_left_ > 0) {
            // The configuration still differs: try another peer now instead of at the next probe.
            --retries_left_;
            pull_from_peers();
        }
    });
}

pull_reply config_gossip::answer_pull(const std::vector<config_version>& known) const {
    std::map<config_key, object_version> versions;
    for (const config_version& it : known)
        versions[it.key] = it.version;
    pull_reply reply;
    reply.complete = complete_;
    for (const auto& [key, entry] : store_.entries()) {
        const auto it = versions.find(key);
        if (it == versions.end() || it->second < entry.version)
            reply.entries.push_back(entry);
    }
    return reply;
}

std::vector<config_version> config_gossip::known() const {
    std::vector<config_version> list;
    for (const auto& [key, entry] : store_.entries())
        list.push_back({key, entry.version});
    return list;
}

} // namespace pollengrade
