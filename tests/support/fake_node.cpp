/** @file fake_node.cpp How tests act for servers. */
#include "support/fake_node.h"

#include <memory>
#include <utility>

#include "runtime/random_source.h"

namespace pollengrade {

fake_node::fake_node(timer_queue& timers, claim_store_hooks claims, std::uint64_t seed)
    : timers_{timers}, seed_{seed}, log_{[] { return paused_wall_time; }},
      router_{{timers_,
               log_,
               counts_,
               seeded_random(seed),
               [] { return paused_wall_time; },
               {[this](attempt_id id, const attempt_request& request) {
                    sent_[id] = {id, request, false};
                    if (on_send_)
                        on_send_(sent_[id]);
                },
                [this](attempt_id id) { sent_.at(id).aborted = true; }},
               std::move(claims),
               holder_count{1}}} {
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
    shard_reply reply{it.request.request,
                      it.request.shard,
                      it.request.version,
                      {{100, key, "v" + std::to_string(it.request.version.value())}},
                      0,
                      false,
                      "first"};
    change(reply);
    const attempt_id id = it.id;
    sent_.erase(id);
    router_.servers().complete(id, std::move(reply));
}

void fake_node::fail(const sent_request& it, attempt_error code) {
    const attempt_id id = it.id;
    sent_.erase(id);
    router_.servers().complete(id, tl::unexpected{attempt_failure{code, {}}});
}

std::vector<sent_request> fake_node::open_requests() const {
    std::vector<sent_request> open;
    for (const auto& [id, it] : sent_) {
        if (!it.aborted)
            open.push_back(it);
    }
    return open;
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
