/** @file peer_server.cpp Implements the Peer interface by calling the node's hooks. */
#include "peer/peer_server.h"

#include <utility>

#include <glib-unix.h>
#include <kj/debug.h>

#include "core/base/address_func.h"
#include "net/socket_func.h"
#include "peer/peer_codec.h"

namespace pollengrade {

namespace {

/** The RPC interface that peers call. */
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor): the interface's destructor is virtual
class peer_interface final : public wire::Peer::Server {
public:
    peer_interface(loop_clock& clock, event_log& log, peer_hooks hooks)
        : clock_{clock}, log_{log}, hooks_{std::move(hooks)} {}

    kj::Promise<void> probe(ProbeContext context) override {
        clock_.sync();
        const auto message = read_greeting(context.getParams().getGreeting());
        if (!message)
            return KJ_EXCEPTION(FAILED, "gossip message is malformed");
        log_.observe(read_stamp(context.getParams().getGreeting()));
        write_greeting(hooks_.on_probe(*message), log_.stamp(), context.getResults().initGreeting());
        return kj::READY_NOW;
    }

    kj::Promise<void> probeThrough(ProbeThroughContext context) override {
        clock_.sync();
        const node_address target{context.getParams().getTarget().cStr()};
        if (!is_address(target.value()))
            return KJ_EXCEPTION(FAILED, "probe target is not an IPv4:port address");
        auto [promise, fulfiller] = kj::newPromiseAndFulfiller<bool>();
        // std::function needs a copyable callable, but a fulfiller cannot be copied.
        const auto shared = std::make_shared<kj::Own<kj::PromiseFulfiller<bool>>>(kj::mv(fulfiller));
        hooks_.on_probe_through(target, [shared](bool reached) { (*shared)->fulfill(kj::mv(reached)); });
        return promise.then([context](bool reached) mutable { context.getResults().setReached(reached); });
    }

    kj::Promise<void> members(MembersContext context) override {
        clock_.sync();
        std::vector<std::uint64_t> known;
        for (const std::uint64_t it : context.getParams().getKnown())
            known.push_back(it);
        const auto list = hooks_.members(known);
        auto out = context.getResults().initMembers(static_cast<unsigned>(list.size()));
        for (unsigned n = 0; n < out.size(); ++n)
            write_member(list[n], out[n]);
        return kj::READY_NOW;
    }

    kj::Promise<void> push(PushContext context) override {
        clock_.sync();
        hooks_.on_push(read_entries(context.getParams().getEntries()));
        return kj::READY_NOW;
    }

    kj::Promise<void> pull(PullContext context) override {
        clock_.sync();
        std::vector<config_version> known;
        for (const config_entry& it : read_entries(context.getParams().getKnown()))
            known.push_back({it.key, it.version});
        const pull_reply reply = hooks_.on_pull(known);
        auto out = context.getResults().initEntries(static_cast<unsigned>(reply.entries.size()));
        for (unsigned n = 0; n < out.size(); ++n)
            write_entry(reply.entries[n], out[n]);
        context.getResults().setComplete(reply.complete);
        return kj::READY_NOW;
    }

    kj::Promise<void> servers(ServersContext context) override {
        clock_.sync();
        const registry_update update = hooks_.registry_changes(
            object_version{context.getParams().getLaterThan(), context.getParams().getEra()});
        context.getResults().setRevision(update.revision.value());
        context.getResults().setEra(update.revision.era());
        context.getResults().setIsWhole(update.is_whole);
        auto out = context.getResults().initItems(static_cast<unsigned>(update.items.size()));
        for (unsigned n = 0; n < out.size(); ++n)
            write_item(update.items[n], out[n]);
        return kj::READY_NOW;
    }

    kj::Promise<void> forward(ForwardContext context) override {
        clock_.sync();
        const auto request = read_request(context.getParams().getRequest());
        if (!request)
            return KJ_EXCEPTION(FAILED, "delegated request is malformed");
        // A peer that no longer waits closes its connection, which cancels the query.
        context.allowCancellation();
        auto [promise, fulfiller] = kj::newPromiseAndFulfiller<delegated_answer>();
        const auto shared =
            std::make_shared<kj::Own<kj::PromiseFulfiller<delegated_answer>>>(kj::mv(fulfiller));
        const run_id id = hooks_.run_query(
            *request, [shared](delegated_answer answer) { (*shared)->fulfill(kj::mv(answer)); });
        return promise
            .then([context](delegated_answer&& answer) mutable {
                write_answer(answer, context.getResults().initAnswer());
            })
            .attach(kj::defer([this, id] { hooks_.cancel_query(id); }));
    }

private:
    loop_clock& clock_; ///< the process's clock
    event_log& log_;    ///< the event log
    peer_hooks hooks_;  ///< the node's operations
};

} // namespace

peer_server::peer_server(loop_clock& clock, event_log& log, peer_hooks hooks)
    : server_{kj::heap<peer_interface>(clock, log, std::move(hooks))} {}

peer_server::~peer_server() {
    if (watch_ != 0)
        g_source_remove(watch_);
}

tl::expected<void, listen_error> peer_server::listen(const node_address& address) {
    listener_ = listen_at(address.value());
    if (!listener_.is_valid())
        return tl::unexpected{listen_error::address_in_use_or_denied};
    watch_ = g_unix_fd_add(listener_.get(), G_IO_IN, &peer_server::on_connection, this);
    return {};
}

gboolean peer_server::on_connection(gint, GIOCondition, gpointer self) {
    auto* it = static_cast<peer_server*>(self);
    unique_fd fd = accept_from(it->listener_, slow_keepalive_limits());
    if (fd.is_valid())
        it->server_.accept(kj::heap<socket_stream>(kj::mv(fd)));
    return G_SOURCE_CONTINUE;
}

} // namespace pollengrade
