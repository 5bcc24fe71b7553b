/** @file peer_client.cpp One connection a call, with a limit on its time. */
#include "peer/peer_client.h"

#include <utility>

#include <capnp/rpc-twoparty.h>

#include "peer/peer_codec.h"
#include "peer/socket_stream.h"

namespace pollengrade {

namespace {

constexpr duration probe_limit = std::chrono::milliseconds{400};    ///< for a probe and its reply
constexpr duration indirect_limit = std::chrono::milliseconds{900}; ///< for a probe through another node
constexpr duration transfer_limit = std::chrono::seconds{2};        ///< for lists and configuration
constexpr duration forward_margin = std::chrono::milliseconds{20};  ///< for the way back of a query's answer

/** A connection and the RPC client on it; the client ends first. */
struct connection {
    explicit connection(kj::Own<kj::AsyncIoStream> it) : stream{kj::mv(it)}, client{*stream} {}

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyClient client;
};

/** Fulfils a promise at a time; withdraws the timer when the promise is dropped. */
class limit_timer {
public:
    limit_timer(kj::PromiseFulfiller<void>& fulfiller, timer_queue& timers, duration limit)
        : timers_{timers}, id_{timers.schedule_after(limit, [&fulfiller] { fulfiller.fulfill(); })} {}
    limit_timer(const limit_timer&) = delete;
    limit_timer& operator=(const limit_timer&) = delete;
    limit_timer(limit_timer&&) = delete;
    limit_timer& operator=(limit_timer&&) = delete;
    ~limit_timer() { timers_.cancel(id_); }

private:
    timer_queue& timers_; ///< the clock
    timer_id id_;         ///< the limit
};

} // namespace

peer_client::peer_client(loop_clock& clock, event_log& log) : clock_{clock}, log_{log}, tasks_{*this} {}

void peer_client::taskFailed(kj::Exception&&) {} // Each call has told its hook.

template <typename Result>
void peer_client::call(const node_address& to, duration limit,
                       std::function<kj::Promise<std::optional<Result>>(wire::Peer::Client&)> ask,
                       std::function<void(std::optional<Result>)> done) {
    auto reply = connect_to(to.value()).then([ask = std::move(ask)](kj::Own<kj::AsyncIoStream> stream) {
        auto link = kj::heap<connection>(kj::mv(stream));
        auto peer = link->client.bootstrap().castAs<wire::Peer>();
        auto answer = ask(peer);
        return answer.attach(kj::mv(peer), kj::mv(link));
    });
    auto late = kj::newAdaptedPromise<void, limit_timer>(clock_.timers(), limit)
                    .then([]() -> kj::Promise<std::optional<Result>> { return std::optional<Result>{}; });
    const auto failed = [](kj::Exception&&) -> std::optional<Result> { return std::nullopt; };
    tasks_.add(reply.exclusiveJoin(kj::mv(late))
                   .catch_(failed)
                   .then([this, done = std::move(done)](std::optional<Result> it) {
                       clock_.sync();
                       done(std::move(it));
                   }));
}

void peer_client::probe(const node_address& to, const gossip_message& word,
                        const membership_hooks::probe_done& done) {
    call<gossip_message>(
        to, probe_limit,
        [this, word](wire::Peer::Client& peer) {
            auto request = peer.probeRequest();
            write_greeting(word, log_.stamp(), request.initGreeting());
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
        via, indirect_limit,
        [target](wire::Peer::Client& peer) {
            auto request = peer.probeThroughRequest();
            request.setTarget(target.value());
            return request.send().then([](capnp::Response<wire::Peer::ProbeThroughResults>&& reply) {
                return std::optional{reply.getReached()};
            });
        },
        [done](std::optional<bool> reached) { done(reached.value_or(false)); });
}

void peer_client::list(const node_address& from, const std::vector<std::uint64_t>& known,
                       const membership_hooks::list_done& done) {
    call<std::vector<member>>(
        from, transfer_limit,
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

void peer_client::push(const node_address& to, const std::vector<config_entry>& entries) {
    call<bool>(
        to, transfer_limit,
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

void peer_client::pull(const node_address& from, const std::vector<config_version>& known,
                       const config_gossip_hooks::pulled& done) {
    call<pull_reply>(
        from, transfer_limit,
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

void peer_client::servers(const node_address& from, object_version later_than,
                          const registry_sync_hooks::pulled& done) {
    call<registry_update>(
        from, transfer_limit,
        [later_than](wire::Peer::Client& peer) {
            auto request = peer.serversRequest();
            request.setLaterThan(later_than.value());
            return request.send().then([](capnp::Response<wire::Peer::ServersResults>&& reply) {
                return std::optional{registry_update{object_version{reply.getRevision()}, reply.getIsWhole(),
                                                     read_items(reply.getItems())}};
            });
        },
        done);
}

void peer_client::forward(delegation_call id, const node_address& to, duration limit,
                          const std::function<delegated_request()>& shown,
                          std::function<void(std::optional<delegated_answer>)> done) {
    using result = std::optional<delegated_answer>;
    auto withdrawn = kj::newPromiseAndFulfiller<void>();
    withdrawals_.insert_or_assign(id, kj::mv(withdrawn.fulfiller));
    auto reply = connect_to(to.value()).then([this, id, shown](kj::Own<kj::AsyncIoStream> stream) {
        auto link = kj::heap<connection>(kj::mv(stream));
        auto peer = link->client.bootstrap().castAs<wire::Peer>();
        // The holder's process runs once it has told which object takes calls.
        auto answer = peer.whenResolved().then([this, id, shown, peer]() mutable -> kj::Promise<result> {
            if (!withdrawals_.contains(id))
                return result{};
            clock_.sync();
            auto call = peer.forwardRequest();
            write_request(shown(), call.initRequest());
            return call.send().then([](capnp::Response<wire::Peer::ForwardResults>&& response) {
                return read_answer(response.getAnswer());
            });
        });
        return answer.attach(kj::mv(peer), kj::mv(link));
    });
    auto late = kj::newAdaptedPromise<void, limit_timer>(clock_.timers(), limit + forward_margin)
                    .then([]() -> kj::Promise<result> { return result{}; });
    auto ended = reply.exclusiveJoin(kj::mv(late))
                     .catch_([](kj::Exception&&) -> result { return std::nullopt; })
                     .then([this, id, done = std::move(done)](result it) {
                         clock_.sync();
                         if (withdrawals_.erase(id) > 0)
                             done(std::move(it));
                     });
    tasks_.add(ended.exclusiveJoin(kj::mv(withdrawn.promise)));
}

void peer_client::cancel(delegation_call id) {
    const auto node = withdrawals_.extract(id);
    if (!node.empty())
        node.mapped()->fulfill();
}

} // namespace pollengrade
