/** @file registration.cpp Writes server entries in the format of the platform's own servers. */
#include "registration.h"

#include <cstdio>
#include <memory>
#include <utility>

#include "platform/wire_names.h"
#include "soup/soup_func.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

constexpr duration heartbeat_period =
    std::chrono::milliseconds{500}; ///< the store removes an entry after three seconds without a write
constexpr duration retry_delay =
    std::chrono::milliseconds{200}; ///< after a removal that the store did not take
constexpr std::uint32_t store_connections = 4;
constexpr std::chrono::seconds call_limit{1};
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
    bool drains;  ///< whether the entry reads draining
    bool removes; ///< whether the entry is removed
    gobject_ptr<SoupMessage> message;
};

registration::registration(loop_clock& clock, std::string platform)
    : clock_{clock}, platform_{std::move(platform)}, session_{make_session(store_connections, idle_seconds)} {
    soup_session_set_timeout(session_.get(), static_cast<guint>(call_limit.count()));
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

void registration::remove() {
    removed_ = true;
    // By then no write that is under way can bring an entry back.
    clock_.timers().schedule_after(call_limit + retry_delay, [this] {
        for (const registered_server& it : servers_)
            send_removal(it);
    });
}

void registration::send_heartbeats() {
    if (removed_)
        return;
    for (const registered_server& it : servers_)
        send(it, true);
    clock_.timers().schedule_after(heartbeat_period, [this] { send_heartbeats(); });
}

void registration::send(const registered_server& it, bool creates) {
    const std::string kind = "http://" + platform_ + wire_names::objects_path + wire_names::servers_kind;
    const std::string where = creates ? kind : kind + "/" + it.id;
    auto state = std::make_unique<call_state>(call_state{this, it, creates, draining_, false, nullptr});
    state->message.reset(soup_message_new(creates ? "POST" : "PUT", where.c_str()));
    send_request(std::move(state), entry_json(it, draining_));
}

void registration::send_removal(const registered_server& it) {
    const std::string where =
        "http://" + platform_ + wire_names::objects_path + wire_names::servers_kind + "/" + it.id;
    auto state = std::make_unique<call_state>(call_state{this, it, false, false, true, nullptr});
    state->message.reset(soup_message_new("DELETE", where.c_str()));
    send_request(std::move(state), {});
}

void registration::send_request(std::unique_ptr<call_state> state, const std::string& body) {
    const gbytes_ptr bytes{g_bytes_new(body.data(), body.size())};
    if (!body.empty())
        soup_message_set_request_body_from_bytes(state->message.get(), "application/json", bytes.get());
    call_state* raw = state.release();
    soup_session_send_and_read_async(session_.get(), raw->message.get(), G_PRIORITY_DEFAULT, nullptr,
                                     &registration::on_reply, raw);
}

void registration::print_left(const registered_server& it, const char* how) {
    std::printf("left %lld %s %s\n", // NOLINT(*-vararg): a fixed line
                static_cast<long long>(wall_now().time_since_epoch().count()),
                (it.id + "@" + std::to_string(it.started_ms)).c_str(), how);
    std::fflush(stdout);
}

void registration::on_reply(GObject* session, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<call_state> it{static_cast<call_state*>(data)};
    GError* error = nullptr;
    const gbytes_ptr body{soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error)};
    const gerror_ptr ec{error};
    const guint status = ec ? 0 : soup_message_get_status(it->message.get());
    constexpr guint success_class = 2;
    constexpr guint statuses_per_class = 100;
    const bool is_taken = status / statuses_per_class == success_class;
    if (it->removes) {
        if (is_taken)
            print_left(it->server, "removed");
        else if (status != SOUP_STATUS_NOT_FOUND)
            it->owner->clock_.timers().schedule_after(
                retry_delay, [owner = it->owner, server = it->server] { owner->send_removal(server); });
        return;
    }
    if (is_taken && it->drains)
        print_left(it->server, "draining");
    // An existing entry is updated instead, which keeps it from expiring; any other failure is retried with
    // the next heartbeat.
    if (it->creates && status == conflict && !it->owner->removed_)
        it->owner->send(it->server, false);
}

} // namespace pollengrade
