/** @file standin_platform.cpp A stand-in for the platform's object API, with fault injection. */
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <cxxopts.hpp>
#include <libsoup/soup.h>

#include "core/base/id_type.h"
#include "http/uri_func.h"
#include "odd_entry.h"
#include "platform/wire_names.h"
#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"
#include "runtime/program_func.h"
#include "soup/soup_func.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

constexpr std::size_t max_value_bytes =
    std::size_t{1024} * 1024; ///< size limit of an object, as in the platform itself

/** Fault injected into all calls. */
enum class fault_mode : std::uint8_t {
    none,         ///< calls are answered
    down,         ///< answers 503 without carrying the call out
    silent,       ///< accepts calls and never answers
    lose_replies, ///< carries writes out, then closes the connection without a reply
    lose_calls,   ///< closes the connection without carrying the call out
};

/** A stored object. */
struct object {
    std::uint64_t revision = 0; ///< revision of the last change
    std::uint64_t created = 0;  ///< revision of the creation
    std::string spec;           ///< specification as JSON text
    time_point written{};       ///< time of the last write, even one that changed nothing
};

/** A change in the history, from which watches catch up. */
struct change {
    std::uint64_t revision = 0; ///< store revision of the change
    std::string kind;           ///< kind of the object
    std::string name;           ///< name of the object
    object value;               ///< the object after the change, or before its removal
    bool removed = false;       ///< whether the object was removed
};

/** A long-polling watch that waits for a change. */
struct waiting_watch {
    gobject_ptr<SoupServerMessage> message;
    std::string kind;
    std::uint64_t after = 0;
    timer_id limit;
};

std::string query_text(GHashTable* query, const char* name) {
    const char* it = query == nullptr ? nullptr : static_cast<const char*>(g_hash_table_lookup(query, name));
    return it == nullptr ? std::string{} : std::string{it};
}

std::uint64_t query_number(GHashTable* query, const char* name, std::uint64_t fallback) {
    return parse_natural(query_text(query, name)).value_or(fallback);
}

void respond(SoupServerMessage* message, unsigned status, const std::string& body) {
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
}

/** Closes the connection of a call without an answer. */
void drop(SoupServerMessage* message) {
    const gobject_ptr<GIOStream> stream{soup_server_message_steal_connection(message)};
    g_io_stream_close(stream.get(), nullptr, nullptr);
}

/** Object store with one revision counter, watches and injectable faults. */
class standin_platform {
public:
    explicit standin_platform(loop_clock& clock)
        : clock_{clock}, server_{SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, nullptr))} {
        soup_server_add_handler(server_.get(), wire_names::objects_path, &standin_platform::on_call, this,
                                nullptr);
        soup_server_add_handler(server_.get(), "/standin", &standin_platform::on_control, this, nullptr);
    }

    /** Removes server entries that were not written within the limit, also while a fault is injected. */
    void expire_servers_after(duration limit) {
        clock_.timers().schedule_after(limit / 4, [this, limit] {
            auto& servers = objects_[wire_names::servers_kind];
            for (auto it = servers.begin(); it != servers.end();) {
                const std::string name = it->first;
                const bool is_expired = clock_.timers().now() - it->second.written > limit;
                ++it;
                if (is_expired)
                    erase(wire_names::servers_kind, name);
            }
            expire_servers_after(limit);
        });
    }

    bool listen(const std::string& address) {
        const auto where = to_socket_address(address);
        return soup_server_listen(server_.get(), where.get(), static_cast<SoupServerListenOptions>(0),
                                  nullptr) != FALSE;
    }

private:
    static void on_call(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query,
                        gpointer self) {
        auto* it = static_cast<standin_platform*>(self);
        it->clock_.sync();
        ++it->calls_;
        if (it->delay_ms_ == 0) {
            it->call(message, path, query);
            return;
        }
        soup_server_message_pause(message);
        g_object_ref(message);
        GHashTable* kept = query == nullptr ? nullptr : g_hash_table_ref(query);
        it->clock_.timers().schedule_after(std::chrono::milliseconds{it->delay_ms_},
                                           [it, message, kept, where = std::string{path}] {
                                               soup_server_message_unpause(message);
                                               it->call(message, where, kept);
                                               g_object_unref(message);
                                               if (kept != nullptr)
                                                   g_hash_table_unref(kept);
                                           });
    }

    void call(SoupServerMessage* message, const std::string& path, GHashTable* query) {
        switch (mode_) {
        case fault_mode::none:
        case fault_mode::lose_replies:
            break;
        case fault_mode::down:
            respond(message, SOUP_STATUS_SERVICE_UNAVAILABLE, "{}");
            return;
        case fault_mode::silent:
            soup_server_message_pause(message);
            return;
        case fault_mode::lose_calls:
            drop(message);
            return;
        }
        const std::string rest = path.substr(std::string_view{wire_names::objects_path}.size());
        const auto slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? std::string{} : rest.substr(slash + 1);
        const std::string_view method = soup_server_message_get_method(message);
        if (method == "GET" && name.empty() && !query_text(query, "watch").empty())
            watch(message, kind, query);
        else if (method == "GET" && name.empty())
            respond(message, SOUP_STATUS_OK, list_json(kind, query_text(query, "after")));
        else if (method == "GET")
            get(message, kind, name);
        else if (method == "POST" && name.empty())
            write(message, kind, {});
        else if (method == "PUT" && !name.empty())
            write(message, kind, name);
        else if (method == "DELETE" && !name.empty())
            remove(message, kind, name);
        else
            respond(message, SOUP_STATUS_NOT_FOUND, "{}");
    }

    static std::string object_json(const std::string& name, const object& it) {
        json_writer meta;
        meta.begin_object().member(wire_names::name, name);
        meta.member(wire_names::revision, it.revision).member("created", it.created);
        meta.name("finalizers").begin_array().end_array().member("delete-requested", false).end_object();
        return member_text(wire_names::meta, meta.take(), '{') + member_text(wire_names::spec, it.spec, ',') +
               member_text(wire_names::status, "null", ',') + "}";
    }

    /** @return a member whose value need not be JSON, as another writer's entry is sent as it was written. */
    static std::string member_text(std::string_view name, std::string_view value, char before) {
        return before + ("\"" + std::string{name} + "\":") + std::string{value};
    }

    std::string list_json(const std::string& kind, const std::string& after) {
        constexpr std::size_t page_objects = 50;
        std::string items;
        std::size_t count = 0;
        const auto& all = objects_[kind];
        auto it = all.upper_bound(after);
        for (; it != all.end() && count < page_objects; ++it, ++count)
            items += (count == 0 ? "" : ",") + object_json(it->first, it->second);
        return member_text(wire_names::items, "[" + items + "]", '{') +
               member_text(wire_names::has_more, it != all.end() ? "true" : "false", ',') +
               member_text(wire_names::store_revision, std::to_string(revision_), ',') + "}";
    }

    void get(SoupServerMessage* message, const std::string& kind, const std::string& name) {
        const auto it = objects_[kind].find(name);
        if (it == objects_[kind].end())
            respond(message, SOUP_STATUS_NOT_FOUND, "{}");
        else
            respond(message, SOUP_STATUS_OK, object_json(name, it->second));
    }

    /** Creates an object, or replaces one whose revision matches the one in the call, if the call has one. */
    void write(SoupServerMessage* message, const std::string& kind, std::string name) {
        SoupMessageBody* body = soup_server_message_get_request_body(message);
        const std::string_view text{body->data == nullptr ? "" : body->data,
                                    static_cast<std::size_t>(body->length)};
        const auto document = json_document::parse(text);
        const auto meta = document ? document->root().member(wire_names::meta) : std::nullopt;
        const auto spec = document ? document->root().member(wire_names::spec) : std::nullopt;
        const bool is_new = name.empty();
        if (is_new && meta)
            name = std::string{meta->text(wire_names::name).value_or("")};
        if (!meta || !spec || name.empty() || text.size() > max_value_bytes) {
            respond(message, SOUP_STATUS_BAD_REQUEST, "{}");
            return;
        }
        const auto known = objects_[kind].find(name);
        const bool exists = known != objects_[kind].end();
        const auto expected = meta->natural(wire_names::revision);
        if (!is_new && !exists) {
            respond(message, SOUP_STATUS_NOT_FOUND, "{}");
            return;
        }
        if ((is_new && exists) || (exists && expected && *expected != known->second.revision)) {
            respond(message, SOUP_STATUS_CONFLICT, object_json(name, known->second));
            return;
        }
        object& it = objects_[kind][name];
        it.written = clock_.timers().now();
        const std::string new_spec = spec->to_json();
        if (it.spec != new_spec) {
            it.revision = ++revision_;
            it.created = exists ? it.created : revision_;
            it.spec = new_spec;
            record_change({revision_, kind, name, it, false});
        }
        if (mode_ == fault_mode::lose_replies)
            drop(message);
        else
            respond(message, is_new ? SOUP_STATUS_CREATED : SOUP_STATUS_OK, object_json(name, it));
    }

    void write_odd_entry(std::size_t odd_kind) {
        const std::string name = "m-odd-" + std::to_string(odd_kind);
        object& it = objects_[wire_names::servers_kind][name];
        it = {++revision_, revision_, odd_entry(odd_kind), clock_.timers().now()};
        record_change({revision_, wire_names::servers_kind, name, it, false});
    }

    void remove(SoupServerMessage* message, const std::string& kind, const std::string& name) {
        const auto known = objects_[kind].find(name);
        if (known == objects_[kind].end()) {
            respond(message, SOUP_STATUS_NOT_FOUND, "{}");
            return;
        }
        respond(message, SOUP_STATUS_OK, object_json(name, known->second));
        erase(kind, name);
    }

    void erase(const std::string& kind, const std::string& name) {
        const auto node = objects_[kind].extract(name);
        ++revision_;
        record_change({revision_, kind, name, node.mapped(), true});
    }

    void record_change(change it) {
        const std::string kind = it.kind;
        history_.push_back(std::move(it));
        for (auto watch = watches_.begin(); watch != watches_.end();) {
            const auto next = std::next(watch);
            if (watch->kind == kind)
                end_watch(watch);
            watch = next;
        }
    }

    std::string changes_json(const std::string& kind, std::uint64_t after) const {
        std::string events;
        for (const change& it : history_) {
            if (it.kind != kind || it.revision <= after)
                continue;
            events += events.empty() ? "" : ",";
            events += member_text(wire_names::object, object_json(it.name, it.value), '{') +
                      member_text(wire_names::deleted, it.removed ? "true" : "false", ',') + "}";
        }
        return member_text(wire_names::events, "[" + events + "]", '{') +
               member_text(wire_names::store_revision, std::to_string(revision_), ',') + "}";
    }

    bool has_changes(const std::string& kind, std::uint64_t after) const {
        return std::any_of(history_.begin(), history_.end(),
                           [&](const change& it) { return it.kind == kind && it.revision > after; });
    }

    void watch(SoupServerMessage* message, const std::string& kind, GHashTable* query) {
        const std::uint64_t after = query_number(query, "watch", 0);
        if (after < compacted_revision_) {
            respond(message, SOUP_STATUS_GONE, "{}");
            return;
        }
        if (has_changes(kind, after)) {
            respond(message, SOUP_STATUS_OK, changes_json(kind, after));
            return;
        }
        soup_server_message_pause(message);
        const auto wait = std::chrono::milliseconds{query_number(query, "wait-ms", 1000)};
        watches_.push_back({add_reference(message), kind, after, timer_id{}});
        const auto it = std::prev(watches_.end());
        it->limit = clock_.timers().schedule_after(wait, [this, it] { end_watch(it); });
    }

    void end_watch(std::list<waiting_watch>::iterator it) {
        respond(it->message.get(), SOUP_STATUS_OK, changes_json(it->kind, it->after));
        soup_server_message_unpause(it->message.get());
        clock_.timers().cancel(it->limit);
        watches_.erase(it);
    }

    static void on_control(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query,
                           gpointer self) {
        auto* it = static_cast<standin_platform*>(self);
        it->clock_.sync();
        it->control(message, path, query);
    }

    void control(SoupServerMessage* message, const std::string& path, GHashTable* query) {
        if (path == "/standin/fault") {
            static const std::map<std::string, fault_mode> modes{{"none", fault_mode::none},
                                                                 {"down", fault_mode::down},
                                                                 {"silent", fault_mode::silent},
                                                                 {"lose_replies", fault_mode::lose_replies},
                                                                 {"lose_calls", fault_mode::lose_calls}};
            const auto mode = modes.find(query_text(query, "mode"));
            if (mode == modes.end()) {
                respond(message, SOUP_STATUS_BAD_REQUEST, "{}");
                return;
            }
            mode_ = mode->second;
            delay_ms_ = static_cast<std::int64_t>(query_number(query, "delay_ms", 0));
            if (mode_ != fault_mode::none)
                drop_watches();
        } else if (path == "/standin/odd-entry") {
            write_odd_entry(query_number(query, "kind", 0));
        } else if (path == "/standin/forget") {
            // Compaction: watches cannot start from an earlier revision any more.
            history_.clear();
            compacted_revision_ = revision_;
            drop_watches();
        }
        respond(message, SOUP_STATUS_OK,
                "{\"calls\":" + std::to_string(calls_) + ",\"watches\":" + std::to_string(watches_.size()) +
                    ",\"revision\":" + std::to_string(revision_) + "}");
    }

    void drop_watches() {
        for (waiting_watch& it : watches_) {
            clock_.timers().cancel(it.limit);
            drop(it.message.get());
        }
        watches_.clear();
    }

    loop_clock& clock_;                                            ///< the process's clock
    gobject_ptr<SoupServer> server_;                               ///< the listener
    std::map<std::string, std::map<std::string, object>> objects_; ///< objects by kind and name
    std::deque<change> history_;                                   ///< changes since the last compaction
    std::list<waiting_watch> watches_;                             ///< watches that wait for a change
    std::uint64_t revision_ = 1;                                   ///< latest store revision
    std::uint64_t compacted_revision_ = 0; ///< latest revision dropped from the history
    std::uint64_t calls_ = 0;              ///< calls received
    fault_mode mode_ = fault_mode::none;   ///< injected fault
    std::int64_t delay_ms_ = 0;            ///< delay added to each call
};

int run(int argc, char** argv) {
    cxxopts::Options options{"standin_platform", "Stand-in for the platform's object API."};
    options.add_options()("listen", "IPv4:port",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:7000"))(
        "expire-ms", "lifetime of server entries after each write; 0 for no limit",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    const auto flags = options.parse(argc, argv);
    loop_clock clock;
    standin_platform platform{clock};
    if (!platform.listen(flags["listen"].as<std::string>())) {
        std::fputs("standin_platform: cannot listen\n", stderr);
        return EXIT_FAILURE;
    }
    if (const auto limit = flags["expire-ms"].as<std::uint32_t>(); limit > 0)
        platform.expire_servers_after(std::chrono::milliseconds{limit});
    const gmain_loop_ptr loop{g_main_loop_new(nullptr, FALSE)};
    g_main_loop_run(loop.get());
    return EXIT_SUCCESS;
}

} // namespace

} // namespace pollengrade

int main(int argc, char** argv) {
    return pollengrade::run_program("standin_platform", [&] { return pollengrade::run(argc, argv); });
}
