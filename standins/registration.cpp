/** @file registration.cpp Writes server entries in the format of the platform's own servers. */
#include "registration.h"

#include <memory>
#include <utility>

#include "platform/wire_names.h"
#include "soup/soup_func.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

constexpr duration heartbeat_period =
    std::chrono::milliseconds{500}; ///< the store removes an entry after three seconds without a write
constexpr std::uint32_t store_connections = 4;
constexpr guint idle_seconds = 10;
constexpr unsigned conflict = SOUP_STATUS_CONFLICT;

std::string entry_json(const registered_server& it, bool draining) {
    namespace wire = wire_names;
    json_writer out;
    out.begin_object().name(wire::meta).begin_object().member(wire::name, it.id).end_object();
    out.name(wire::spec).begin_object().member(wire::service, it.service).member(wire::address, it.address);
    out.member(wire::zone, it.domain).member(wire::slots, it.slots);
    out.member(wire::lifecycle, draining ? wire::draining : wire::ready);
    out.member(wire::warmup_ms, std::uint64_t{0}).member(wire::started_ms, it.started_ms);
    return out.end_object().end_object().take();
}

} // namespace

/** A call whose reply is pending. */
struct registration::call_state {
    registration* owner;
    registered_server server;
    bool creates;
    gobject_ptr<SoupMessage> message;
};

registration::registration(loop_clock& clock, std::string platform)
    : clock_{clock}, platform_{std::move(platform)}, session_{make_session(store_connections, idle_seconds)} {
    soup_session_set_timeout(session_.get(), 1);
}

void registration::start(std::vector<registered_server> servers) {
    servers_ = std::move(servers);
    send_heartbeats();
}

void registration::drain() {
    draining_ = true;
    for (const registered_server& it : servers_)
        send(it, false);
}

void registration::send_heartbeats() {
    for (const registered_server& it : servers_)
        send(it, true);
    clock_.timers().schedule_after(heartbeat_period, [this] { send_heartbeats(); });
}

void registration::send(const registered_server& it, bool creates) {
    const std::string kind = "http://" + platform_ + wire_names::objects_path + wire_names::servers_kind;
    auto state = std::make_unique<call_state>(call_state{this, it, creates, nullptr});
    const std::string where = creates ? kind : kind + "/" + it.id;
    state->message.reset(soup_message_new(creates ? "POST" : "PUT", where.c_str()));
    const std::string body = entry_json(it, draining_);
    const gbytes_ptr bytes{g_bytes_new(body.data(), body.size())};
    soup_message_set_request_body_from_bytes(state->message.get(), "application/json", bytes.get());
    call_state* raw = state.release();
    soup_session_send_and_read_async(session_.get(), raw->message.get(), G_PRIORITY_DEFAULT, nullptr,
                                     &registration::on_reply, raw);
}

void registration::on_reply(GObject* session, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<call_state> it{static_cast<call_state*>(data)};
    GError* error = nullptr;
    const gbytes_ptr body{soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error)};
    const gerror_ptr ec{error};
    // An existing entry is updated instead, which keeps it from expiring; any other failure is retried with
    // the next heartbeat.
    if (!ec && it->creates && soup_message_get_status(it->message.get()) == conflict)
        it->owner->send(it->server, false);
}

} // namespace pollengrade
