/** @file config_spread.cpp Push on news, pull on difference. */
#include "core/cluster/config_spread.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pollengrade {

namespace {

constexpr std::uint32_t max_pull_retries = 3;                  ///< other peers asked after a lost pull
constexpr duration near_time = std::chrono::milliseconds{700}; ///< news has spread in a domain by then

} // namespace

config_spread::config_spread(timer_queue& timers, config_store& store, metrics& counts,
                             std::size_t push_fanout, spread_hooks hooks)
    : timers_{timers}, store_{store}, counts_{counts}, push_fanout_{push_fanout}, hooks_{std::move(hooks)} {}

void config_spread::take(const std::vector<config_entry>& entries) {
    std::vector<config_entry> news;
    for (const config_entry& it : entries) {
        const offer_result result = store_.offer(it);
        if (result == offer_result::rejected)
            ++counts_.counter("config_rejected");
        if (result != offer_result::stale)
            news.push_back(it);
    }
    if (news.empty())
        return;
    for (const node_address& it :
         near_ ? hooks_.random_local_peers(push_fanout_) : hooks_.random_peers(push_fanout_)) {
        ++counts_.counter("config_pushes_sent");
        hooks_.push(it, news);
    }
}

void config_spread::on_gossip(const gossip_message& from) {
    if (!lacks(from))
        return;
    // A node without any configuration serves nobody: it takes it from wherever it is.
    if (!near_ || !complete_ || !hooks_.is_cross_domain(from.sender.address)) {
        begin_pull(from.sender.address);
        return;
    }
    if (doubt_)
        return;
    doubt_ = timers_.schedule_after(near_time, [this, from] {
        doubt_.reset();
        if (lacks(from))
            begin_pull(from.sender.address);
    });
}

bool config_spread::lacks(const gossip_message& from) const {
    return from.config_digest != store_.digest() || (from.config_complete && !complete_);
}

void config_spread::begin_pull(const node_address& from) {
    if (!pulling_)
        retries_left_ = max_pull_retries;
    pull(from);
}

void config_spread::pull_from_peers() {
    for (const node_address& it : near_ ? hooks_.random_local_peers(1) : hooks_.random_peers(1))
        pull(it);
}

void config_spread::pull(const node_address& from) {
    if (std::exchange(pulling_, true))
        return;
    ++counts_.counter("config_pulls_sent");
    hooks_.pull(from, known(), [this](const std::optional<pull_reply>& reply) {
        pulling_ = false;
        if (!reply) {
            // The difference still stands: ask somebody else now, not at the next probe.
            if (retries_left_ > 0) {
                --retries_left_;
                pull_from_peers();
            }
            return;
        }
        take(reply->entries);
        if (reply->complete && !std::exchange(complete_, true))
            hooks_.completed();
    });
}

pull_reply config_spread::answer_pull(const std::vector<config_version>& known) const {
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

std::vector<config_version> config_spread::known() const {
    std::vector<config_version> list;
    for (const auto& [key, entry] : store_.entries())
        list.push_back({key, entry.version});
    return list;
}

} // namespace pollengrade
