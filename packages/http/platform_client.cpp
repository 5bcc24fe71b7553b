/** @file platform_client.cpp The object API by libsoup. */
#include "http/platform_client.h"

#include <array>
#include <memory>
#include <utility>

#include "http/codec.h"
#include "http/http_func.h"
#include "http/json_view.h"

namespace pollengrade {

namespace {

constexpr duration call_limit = std::chrono::seconds{2};  ///< after this the reply counts as lost
constexpr duration watch_wait = std::chrono::seconds{25}; ///< how long a watch waits for a change
constexpr duration watch_limit = watch_wait + call_limit; ///< after this a watch counts as lost
constexpr guint too_many_requests_status = 429;           ///< the platform limits the rate
constexpr std::uint32_t max_connections = 16;             ///< to the platform
constexpr guint idle_connection_seconds = 60;             ///< when an unused one is closed
constexpr std::size_t max_platform_reply_bytes = std::size_t{64} * 1024 * 1024; ///< longest list that is read
constexpr std::array<std::string_view, 3> kind_names{"service", "shardmap", "claim"};

std::optional<platform_object> read_object(const json_view& it) {
    const auto name = it.text("name");
    const auto version = it.natural("version");
    const auto value = it.text("value");
    if (!name || !version || !value)
        return std::nullopt;
    return platform_object{std::string{*name}, object_version{*version}, std::string{*value}};
}

tl::expected<object_list, store_error> read_list(const std::string& text) {
    const auto document = json_document::parse(text);
    const auto revision = document ? document->root().natural("revision") : std::nullopt;
    const auto objects = document ? document->root().member("objects") : std::nullopt;
    const auto elements = objects ? objects->elements() : std::nullopt;
    if (!revision || !elements)
        return tl::unexpected{store_error::malformed};
    object_list list{object_version{*revision}, {}};
    for (const json_view& it : *elements) {
        auto object = read_object(it);
        if (!object)
            return tl::unexpected{store_error::malformed};
        list.objects.push_back(std::move(*object));
    }
    return list;
}

tl::expected<std::vector<vm_record>, store_error> read_vms(const std::string& text) {
    const auto document = json_document::parse(text);
    const auto vms = document ? document->root().member("vms") : std::nullopt;
    const auto elements = vms ? vms->elements() : std::nullopt;
    if (!elements)
        return tl::unexpected{store_error::malformed};
    std::vector<vm_record> records;
    for (const json_view& it : *elements) {
        const auto address = it.text("address");
        const auto incarnation = it.text("incarnation");
        const auto leaving = it.boolean("leaving");
        if (!address || !incarnation || !leaving)
            return tl::unexpected{store_error::malformed};
        records.push_back({std::string{*address}, std::string{*incarnation}, *leaving});
    }
    return records;
}

store_error error_of_status(guint status) {
    switch (status) {
    case SOUP_STATUS_CONFLICT:
    case SOUP_STATUS_PRECONDITION_FAILED:
        return store_error::conflict;
    case SOUP_STATUS_NOT_FOUND:
        return store_error::absent;
    case too_many_requests_status:
        return store_error::unavailable;
    default:
        // A server error may follow a write that took effect.
        return status >= SOUP_STATUS_INTERNAL_SERVER_ERROR ? store_error::reply_lost : store_error::malformed;
    }
}

std::string object_path(object_kind kind, const std::string& name) {
    return "/objects/" + std::string{to_string(kind)} + "/" + escape_uri(name);
}

} // namespace

std::string_view to_string(object_kind it) {
    return kind_names.at(static_cast<std::size_t>(it));
}

/** One call in flight. */
struct platform_client::call {
    platform_client* owner = nullptr; ///< the client
    gobject_ptr<SoupMessage> message; ///< the request and its reply
    gobject_ptr<GCancellable> cancel; ///< ends the call
    timer_id limit;                   ///< cancels a call that takes too long
    raw_done hook;                    ///< takes the result
    bool started = false;             ///< whether the request may have left
};

platform_client::platform_client(loop_clock& clock, event_log& log, metrics& counts,
                                 const node_address& address)
    : clock_{clock}, log_{log}, counts_{counts}, base_{"http://" + address.value() + "/v1"},
      session_{make_session(max_connections, idle_connection_seconds)} {}

void platform_client::send(const char* method, const std::string& path, std::string_view body, duration limit,
                           raw_done hook) {
    ++counts_.counter("platform_calls", method);
    auto it = std::make_unique<call>();
    it->owner = this;
    it->message.reset(soup_message_new(method, (base_ + path).c_str()));
    it->cancel.reset(g_cancellable_new());
    it->hook = std::move(hook);
    // A write must not be sent twice by the library: a conflict with itself would look like a lost race.
    auto flags = static_cast<unsigned>(SOUP_MESSAGE_NO_REDIRECT);
    if (!body.empty()) {
        const gbytes_ptr bytes{g_bytes_new(body.data(), body.size())};
        soup_message_set_request_body_from_bytes(it->message.get(), "text/plain; charset=utf-8", bytes.get());
        flags |= static_cast<unsigned>(SOUP_MESSAGE_NEW_CONNECTION);
    }
    soup_message_set_flags(it->message.get(), static_cast<SoupMessageFlags>(flags));
    it->limit = clock_.timers().schedule_after(
        limit, [cancel = add_reference(it->cancel.get()).release()] { g_cancellable_cancel(cancel); });
    call* raw = it.release();
    g_signal_connect(
        raw->message.get(), "starting",
        G_CALLBACK(+[](SoupMessage*, gpointer data) { static_cast<call*>(data)->started = true; }), raw);
    soup_session_send_and_read_async(session_.get(), raw->message.get(), G_PRIORITY_DEFAULT,
                                     raw->cancel.get(), &platform_client::on_reply, raw);
}

void platform_client::on_reply(GObject* session, GAsyncResult* result, gpointer data) {
    const std::unique_ptr<call> it{static_cast<call*>(data)};
    GError* error = nullptr;
    const gbytes_ptr body{soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error)};
    const gerror_ptr ec{error};
    platform_client& owner = *it->owner;
    owner.clock_.sync();
    owner.clock_.timers().cancel(it->limit);
    g_object_unref(it->cancel.get()); // The limit's reference.
    if (ec) {
        owner.note_reachable(false);
        it->hook(tl::unexpected{it->started ? store_error::reply_lost : store_error::unavailable});
        return;
    }
    const guint status = soup_message_get_status(it->message.get());
    owner.note_reachable(status < SOUP_STATUS_INTERNAL_SERVER_ERROR);
    if (status != SOUP_STATUS_OK)
        it->hook(tl::unexpected{error_of_status(status)});
    else if (view_of(body.get()).size() > max_platform_reply_bytes)
        it->hook(tl::unexpected{store_error::malformed});
    else
        it->hook(std::string{view_of(body.get())});
}

void platform_client::note_reachable(bool reached) {
    if (!reached)
        ++counts_.counter("platform_calls_failed");
    if (std::exchange(reachable_, reached) == reached)
        return;
    log_.record(reached ? event_kind::platform_reachable : event_kind::platform_unreachable, {}, base_);
}

void platform_client::get(object_kind kind, const std::string& name, done<platform_object> hook) {
    send(SOUP_METHOD_GET, object_path(kind, name), {}, call_limit,
         [hook = std::move(hook)](const auto& reply) {
             if (!reply) {
                 hook(tl::unexpected{reply.error()});
                 return;
             }
             const auto document = json_document::parse(*reply);
             auto object = document ? read_object(document->root()) : std::nullopt;
             if (object)
                 hook(std::move(*object));
             else
                 hook(tl::unexpected{store_error::malformed});
         });
}

void platform_client::put(object_kind kind, const std::string& name, std::string_view value,
                          object_version expected, done<object_version> hook) {
    const std::string path = object_path(kind, name) + "?if_version=" + std::to_string(expected.value());
    send(SOUP_METHOD_PUT, path, value, call_limit, [hook = std::move(hook)](const auto& reply) {
        if (!reply) {
            hook(tl::unexpected{reply.error()});
            return;
        }
        const auto document = json_document::parse(*reply);
        const auto version = document ? document->root().natural("version") : std::nullopt;
        if (version)
            hook(object_version{*version});
        else
            hook(tl::unexpected{store_error::reply_lost});
    });
}

void platform_client::list(object_kind kind, done<object_list> hook) {
    send(SOUP_METHOD_GET, "/objects/" + std::string{to_string(kind)}, {}, call_limit,
         [hook = std::move(hook)](const auto& reply) { hook(reply.and_then(read_list)); });
}

void platform_client::watch(object_kind kind, object_version after, done<object_list> hook) {
    const std::string path = "/watch/" + std::string{to_string(kind)} +
                             "?after=" + std::to_string(after.value()) +
                             "&wait_ms=" + std::to_string(to_milliseconds(watch_wait));
    send(SOUP_METHOD_GET, path, {}, watch_limit,
         [hook = std::move(hook)](const auto& reply) { hook(reply.and_then(read_list)); });
}

void platform_client::vms(done<std::vector<vm_record>> hook) {
    send(SOUP_METHOD_GET, "/vms", {}, call_limit,
         [hook = std::move(hook)](const auto& reply) { hook(reply.and_then(read_vms)); });
}

claim_store_hooks platform_client::claim_hooks() {
    claim_store_hooks hooks;
    hooks.read = [this](const claim_name& name, store_done hook) {
        get(object_kind::order_claim, name.value(), [hook = std::move(hook)](const auto& object) {
            if (!object) {
                hook(tl::unexpected{object.error()});
                return;
            }
            const auto value = decode_claim(object->value);
            if (value)
                hook(stored_claim{*value, object->version});
            else
                hook(tl::unexpected{store_error::malformed});
        });
    };
    hooks.write = [this](const claim_name& name, const claim& value, object_version expected,
                         store_done hook) {
        put(object_kind::order_claim, name.value(), encode_claim(value), expected,
            [value, hook = std::move(hook)](const auto& version) {
                if (version)
                    hook(stored_claim{value, *version});
                else
                    hook(tl::unexpected{version.error()});
            });
    };
    return hooks;
}

} // namespace pollengrade
