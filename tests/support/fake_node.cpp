/** @file fake_node.cpp A node without network and its fake servers. */
#include "support/fake_node.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "runtime/random_source.h"

namespace pollengrade {

fake_node::fake_node(timer_queue& timers, claim_store_hooks claims, std::uint64_t seed)
    : timers_{timers}, seed_{seed}, log_{[] { return paused_wall_time; }},
      servers_{timers_,
               log_,
               counts_,
               seeded_random(seed),
               failure_domain{},
               {[this](connection_id id, const upstream_address& address) {
                    connections_[id] = address;
                    servers_.on_connected(id);
                    return true;
                },
                [this](connection_id id, const upstream_identity& server, const attempt_request& request) {
                    sent_[id] = {
                        next_number_++, id, server.id, request, std::get<index_request>(request.content),
                        false};
                    if (on_send_)
                        on_send_(sent_[id]);
                },
                [this](connection_id id) {
                    connections_.erase(id);
                    if (const auto it = sent_.find(id); it != sent_.end())
                        it->second.aborted = true;
                }}},
      router_{{servers_, timers_, log_, counts_, seeded_random(seed), [] { return paused_wall_time; },
               std::move(claims), holder_count{1}}} {
    router_.set_ready();
}

void fake_node::configure(const std::string& document, const std::vector<std::uint64_t>& versions,
                          std::uint32_t shards, std::uint32_t replicas) {
    auto parsed = parse_service_document(document);
    const service_name name = parsed.value().name;
    router_.apply_document(std::move(*parsed), object_version{1});
    std::vector<shard_map> maps;
    for (const std::uint64_t version : versions) {
        shard_map map{index_version{version}, {}};
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            shard_entry entry{shard_id{shard}, {}};
            for (std::uint32_t replica = 1; replica <= replicas; ++replica)
                entry.replicas.emplace_back("127.9." + std::to_string(shard) + "." + std::to_string(replica) +
                                            ":9000");
            map.shards.push_back(std::move(entry));
        }
        maps.push_back(std::move(map));
    }
    router_.apply_snapshots(name, std::move(maps), object_version{1});
}

void fake_node::search(duration deadline) {
    shard_query query;
    query.text = "leaf";
    caller_request request{request_id{"r" + std::to_string(next_request_++)}, service_name{"desk"},
                           std::make_shared<const shard_query>(query), deadline};
    router_.submit(std::move(request), [this](answer it) { answers_.push_back(std::move(it)); });
}

void fake_node::order(const std::string& key, std::uint64_t number, duration deadline) {
    shard_query query;
    query.kind = query_kind::order;
    query.number = number;
    query.text = "{}";
    query.idempotency_key = key;
    caller_request request{request_id{"o" + std::to_string(seed_) + "-" + std::to_string(next_request_++)},
                           service_name{"desk"}, std::make_shared<const shard_query>(query), deadline};
    router_.submit(std::move(request), [this](answer it) { answers_.push_back(std::move(it)); });
}

void fake_node::reply(const sent_request& it) {
    reply(it, [](shard_reply&) {});
}

void fake_node::reply(const sent_request& it, const std::function<void(shard_reply&)>& change) {
    const std::string key = "row-" + std::to_string(it.request.shard.value());
    shard_reply reply{it.attempt.request,
                      it.request.shard,
                      it.request.version,
                      {{100, key, "v" + std::to_string(it.request.version.value())}},
                      0,
                      false,
                      "first"};
    change(reply);
    const connection_id id = it.connection;
    sent_.erase(id);
    servers_.on_answered(id, std::move(reply), {});
}

void fake_node::fail(const sent_request& it, attempt_error code) {
    const connection_id id = it.connection;
    sent_.erase(id);
    servers_.on_answered(id, tl::unexpected{attempt_failure{code, {}}}, {});
}

std::vector<sent_request> fake_node::open_requests() const {
    std::vector<sent_request> open;
    for (const auto& [id, it] : sent_) {
        if (!it.aborted && servers_.is_reply_awaited(id))
            open.push_back(it);
    }
    return open;
}

std::size_t fake_node::superseded_requests() const {
    return static_cast<std::size_t>(std::count_if(sent_.begin(), sent_.end(), [this](const auto& it) {
        return !it.second.aborted && !servers_.is_reply_awaited(it.first);
    }));
}

std::vector<sent_request> fake_node::open_requests(std::uint32_t shard) const {
    std::vector<sent_request> open;
    for (const sent_request& it : open_requests()) {
        if (it.request.shard == shard_id{shard})
            open.push_back(it);
    }
    return open;
}

} // namespace pollengrade
