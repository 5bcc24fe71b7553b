/** @file peer_client.cpp Opens one connection for each call and limits the time of the call. */
#include "peer/peer_client.h"

#include <utility>

#include <capnp/rpc-twoparty.h>

#include "peer/peer_codec.h"
#include "peer/socket_stream.h"

namespace pollengrade {

namespace {

constexpr duration probe_timeout = std::chrono::milliseconds{400}; ///< for a direct probe
constexpr duration indirect_probe_timeout =
    std::chrono::milliseconds{900}; ///< for a probe that another node relays
constexpr duration transfer_timeout =
    std::chrono::seconds{2}; ///< for member lists, configuration and the registry
constexpr duration forward_reply_margin =
    std::chrono::milliseconds{20}; ///< added to a query's limit for the transfer of its answer

/** A connection and the RPC client on it; the client is destroyed first because it uses the stream. */
struct connection {
    explicit connection(kj::Own<kj::AsyncIoStream> it) : stream{kj::mv(it)}, client{*stream} {}

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
};

/** Fulfils a promise when a time limit expires; cancels the timer when the promise is dropped. */
class timeout_timer {
public:
    timeout_timer(kj::PromiseFulfiller<void>& fulfiller, timer_queue& timers, duration limit)
        : timers_{timers}, id_{timers.schedule_after(limit, [&fulfiller] { fulfiller.fulfill(); })} {}
    timeout_timer(const timeout_timer&) = delete;
    timeout_timer& operator=(const timeout_timer&) = delete;
    timeout_timer(timeout_timer&&) = delete;
    timeout_timer& operator=(timeout_timer&&) = delete;
    ~timeout_timer() { timers_.cancel(id_); }

private:
    timer_queue& timers_; ///< schedules the timer
    timer_id id_;         ///< the scheduled timer
};

} // namespace

peer_client::peer_client(loop_clock& clock, event_log& log) : clock_{clock}, log_{log}, tasks_{*this} {}

void peer_client::taskFailed(kj::Exception&&) {} // Each call has reported its failure to its callback.

template <typename Result>
void peer_client::call(const node_address& to, duration limit,
                       std::function<kj::Promise<std::optional<Result>>(wire::Peer::Client&)> send_request,
                       std::function<void(std::optional<Result>)> done) {
    auto reply = connect_to(to.value())
                     .then([send_request = std::move(send_request)](kj::Own<kj::AsyncIoStream> stream) {
                         auto link = kj::heap<connection>(kj::mv(stream));
                         auto peer = link->client.bootstrap().castAs<wire::Peer>();
                         auto answer = send_request(peer);
                         return answer.attach(kj::mv(peer), kj::mv(link));
                     });
    auto timeout = kj::newAdaptedPromise<void, timeout_timer>(clock_.timers(), limit)
                       .then([]() -> kj::Promise<std::optional<Result>> { return std::optional<Result>{}; });
    const auto failed = [](kj::Exception&&) -> std::optional<Result> { return std::nullopt; };
    tasks_.add(reply.exclusiveJoin(kj::mv(timeout))
                   .catch_(failed)
                   .then([this, done = std::move(done)](std::optional<Result> it) {
                       clock_.sync();
                       done(std::move(it));
                   }));
}

void peer_client::probe(const node_address& to, const gossip_message& message,
                        const membership_hooks::probe_done& done) {
    call<gossip_message>(
        to, probe_timeout,
        [this, message](wire::Peer::Client& peer) {
            auto request = peer.probeRequest();
            write_greeting(message, log_.stamp(), request.initGreeting());
            return request.send().then([this](capnp::Response<wire::Peer::ProbeResults>&& reply) {
                log_.observe(read_stamp(reply.getGreeting()));
                return read_greeting(reply.getGreeting());
            });
        },
        done);
}

void peer_client::probe_through(const node_address& via, const node_address& target,
                                const membership_hooks::reach_done& done) {
    call<bool>(
        via, indirect_probe_timeout,
        [target](wire::Peer::Client& peer) {
            auto request = peer.probeThroughRequest();
            request.setTarget(target.value());
            return request.send().then([](capnp::Response<wire::Peer::ProbeThroughResults>&& reply) {
                return std::optional{reply.getReached()};
            });
        },
        [done](std::optional<bool> reached) { done(reached.value_or(false)); });
}

void peer_client::list_members(const node_address& from, const std::vector<std::uint64_t>& known,
                               const membership_hooks::list_done& done) {
    call<std::vector<member>>(
        from, transfer_timeout,
        [known](wire::Peer::Client& peer) {
            auto request = peer.membersRequest();
            auto list = request.initKnown(static_cast<unsigned>(known.size()));
            for (unsigned n = 0; n < list.size(); ++n)
                list.set(n, known[n]);
            return request.send().then([](capnp::Response<wire::Peer::MembersResults>&& reply) {
                return std::optional{read_members(reply.getMembers())};
            });
        },
        done);
}

void peer_client::push_config(const node_address& to, const std::vector<config_entry>& entries) {
    call<bool>(
        to, transfer_timeout,
        [entries](wire::Peer::Client& peer) {
            auto request = peer.pushRequest();
            auto list = request.initEntries(static_cast<unsigned>(entries.size()));
            for (unsigned n = 0; n < list.size(); ++n)
                write_entry(entries[n], list[n]);
            return request.send().then(
                [](capnp::Response<wire::Peer::PushResults>&&) { return std::optional{true}; });
        },
        [](std::optional<bool>) {});
}

void peer_client::pull_config(const node_address& from, const std::vector<config_version>& known,
                              const config_gossip_hooks::pulled& done) {
    call<pull_reply>(
        from, transfer_timeout,
        [known](wire::Peer::Client& peer) {
            auto request = peer.pullRequest();
            auto list = request.initKnown(static_cast<unsigned>(known.size()));
            for (unsigned n = 0; n < list.size(); ++n)
                write_version(known[n], list[n]);
            return request.send().then([](capnp::Response<wire::Peer::PullResults>&& reply) {
                return std::optional{pull_reply{read_entries(reply.getEntries()), reply.getComplete()}};
            });
        },
        done);
}

void peer_client::pull_registry(const node_address& from, object_version later_than,
                                const registry_sync_hooks::pulled& done) {
    call<registry_update>(
        from, transfer_timeout,
        [later_than](wire::Peer::Client& peer) {
            auto request = peer.serversRequest();
            request.setLaterThan(later_than.value());
            request.setEra(later_than.era());
            return request.send().then([](capnp::Response<wire::Peer::ServersResults>&& reply) {
                return std::optional{registry_update{object_version{reply.getRevision(), reply.getEra()},
                                                     reply.getIsWhole(), read_items(reply.getItems())}};
            });
        },
        done);
}

void peer_client::forward(delegation_call id, const node_address& to, duration limit,
                          const std::function<delegated_request()>& acknowledged,
                          std::function<void(std::optional<delegated_answer>)> done) {
    using result = std::optional<delegated_answer>;
    auto cancelled = kj::newPromiseAndFulfiller<void>();
    cancellers_.insert_or_assign(id, kj::mv(cancelled.fulfiller));
    auto reply = connect_to(to.value()).then([this, id, acknowledged](kj::Own<kj::AsyncIoStream> stream) {
        auto link = kj::heap<connection>(kj::mv(stream));
        auto peer = link->client.bootstrap().castAs<wire::Peer>();
        // Resolving the bootstrap capability takes a reply, which proves that the holder's process runs.
        auto answer =
            peer.whenResolved().then([this, id, acknowledged, peer]() mutable -> kj::Promise<result> {
                if (!cancellers_.contains(id))
                    return result{};
                clock_.sync();
                auto call = peer.forwardRequest();
                write_request(acknowledged(), call.initRequest());
                return call.send().then([](capnp::Response<wire::Peer::ForwardResults>&& response) {
                    return read_answer(response.getAnswer());
                });
            });
        return answer.attach(kj::mv(peer), kj::mv(link));
    });
    auto timeout = kj::newAdaptedPromise<void, timeout_timer>(clock_.timers(), limit + forward_reply_margin)
                       .then([]() -> kj::Promise<result> { return result{}; });
    auto completed = reply.exclusiveJoin(kj::mv(timeout))
                         .catch_([](kj::Exception&&) -> result { return std::nullopt; })
                         .then([this, id, done = std::move(done)](result it) {
                             clock_.sync();
                             if (cancellers_.erase(id) > 0)
                                 done(std::move(it));
                         });
    tasks_.add(completed.exclusiveJoin(kj::mv(cancelled.promise)));
}

void peer_client::cancel(delegation_call id) {
    const auto node = cancellers_.extract(id);
    if (!node.empty())
        node.mapped()->fulfill();
}

} // namespace pollengrade
