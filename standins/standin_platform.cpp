/** @file standin_platform.cpp A small stand-in of the platform's object API, with switches for its faults. */
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <cxxopts.hpp>
#include <libsoup/soup.h>

#include "core/base/id_type.h"
#include "http/http_func.h"
#include "http/json_view.h"
#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"
#include "runtime/program_func.h"

namespace pollengrade {

namespace {

constexpr std::size_t max_value_bytes =
    std::size_t{1024} * 1024; ///< longest object, as of the platform itself

/** How the stand-in treats the next calls. */
enum class fault_mode : std::uint8_t {
    none,         ///< answers
    down,         ///< answers 503 and does nothing
    silent,       ///< takes calls and never answers
    lose_replies, ///< carries writes out and closes the connection
    lose_calls,   ///< closes the connection and does nothing
};

struct object {
    std::uint64_t version = 0;
    std::string value;
};

struct vm {
    std::string incarnation;
    bool leaving = false;
};

/** A watch that waits for a change. */
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
    return parse_natural(query_text(query, name).c_str()).value_or(fallback);
}

void respond(SoupServerMessage* message, unsigned status, const std::string& body) {
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
}

/** Closes a call's connection without an answer. */
void drop(SoupServerMessage* message) {
    const gobject_ptr<GIOStream> stream{soup_server_message_steal_connection(message)};
    g_io_stream_close(stream.get(), nullptr, nullptr);
}

/** The stand-in: objects, VM list, watches, faults. */
class standin_platform {
public:
    explicit standin_platform(loop_clock& clock)
        : clock_{clock}, server_{SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, nullptr))} {
        soup_server_add_handler(server_.get(), "/v1", &standin_platform::on_call, this, nullptr);
        soup_server_add_handler(server_.get(), "/standin", &standin_platform::on_control, this, nullptr);
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
        const std::string_view method = soup_server_message_get_method(message);
        if (path.starts_with("/v1/watch/"))
            watch(message, path.substr(10), query);
        else if (path == "/v1/vms")
            list_vms(message);
        else if (path.starts_with("/v1/objects/") && method == "PUT")
            put(message, path.substr(12), query);
        else if (path.starts_with("/v1/objects/") && path.find('/', 12) != std::string::npos)
            get(message, path.substr(12));
        else if (path.starts_with("/v1/objects/"))
            respond(message, SOUP_STATUS_OK, list_json(path.substr(12), 0));
        else
            respond(message, SOUP_STATUS_NOT_FOUND, "{}");
    }

    static std::pair<std::string, std::string> split(const std::string& path) {
        const auto slash = path.find('/');
        return {path.substr(0, slash), path.substr(slash + 1)};
    }

    static void write_object(json_writer& out, const std::string& name, const object& it) {
        out.begin_object();
        out.member("name", name).member("version", it.version).member("value", it.value);
        out.end_object();
    }

    std::string list_json(const std::string& kind, std::uint64_t after) {
        json_writer out;
        out.begin_object().member("revision", revision_).name("objects").begin_array();
        for (const auto& [name, it] : objects_[kind]) {
            if (it.version > after)
                write_object(out, name, it);
        }
        return out.end_array().end_object().take();
    }

    void get(SoupServerMessage* message, const std::string& path) {
        const auto [kind, name] = split(path);
        const auto it = objects_[kind].find(name);
        if (it == objects_[kind].end()) {
            respond(message, SOUP_STATUS_NOT_FOUND, "{}");
            return;
        }
        json_writer out;
        write_object(out, name, it->second);
        respond(message, SOUP_STATUS_OK, out.take());
    }

    void put(SoupServerMessage* message, const std::string& path, GHashTable* query) {
        const auto [kind, name] = split(path);
        SoupMessageBody* body = soup_server_message_get_request_body(message);
        if (body->length > static_cast<goffset>(max_value_bytes)) {
            respond(message, SOUP_STATUS_BAD_REQUEST, "{}");
            return;
        }
        object& it = objects_[kind][name];
        if (it.version != query_number(query, "if_version", it.version)) {
            const std::string version = std::to_string(it.version);
            if (it.version == 0)
                objects_[kind].erase(name);
            respond(message, SOUP_STATUS_CONFLICT, "{\"version\":" + version + "}");
            return;
        }
        it.version = ++revision_;
        it.value.assign(body->data == nullptr ? "" : body->data, static_cast<std::size_t>(body->length));
        const std::string version = std::to_string(it.version);
        notify(kind);
        if (mode_ == fault_mode::lose_replies)
            drop(message);
        else
            respond(message, SOUP_STATUS_OK, "{\"version\":" + version + "}");
    }

    void watch(SoupServerMessage* message, const std::string& kind, GHashTable* query) {
        const std::uint64_t after = query_number(query, "after", 0);
        const auto& known = objects_[kind];
        if (std::any_of(known.begin(), known.end(),
                        [after](const auto& it) { return it.second.version > after; })) {
            respond(message, SOUP_STATUS_OK, list_json(kind, after));
            return;
        }
        soup_server_message_pause(message);
        const auto wait = std::chrono::milliseconds{query_number(query, "wait_ms", 1000)};
        watches_.push_back({add_reference(message), kind, after, timer_id{}});
        const auto it = std::prev(watches_.end());
        it->limit = clock_.timers().schedule_after(wait, [this, it] { end_watch(it); });
    }

    void end_watch(std::list<waiting_watch>::iterator it) {
        respond(it->message.get(), SOUP_STATUS_OK, list_json(it->kind, it->after));
        soup_server_message_unpause(it->message.get());
        clock_.timers().cancel(it->limit);
        watches_.erase(it);
    }

    void notify(const std::string& kind) {
        for (auto it = watches_.begin(); it != watches_.end();) {
            const auto next = std::next(it);
            if (it->kind == kind)
                end_watch(it);
            it = next;
        }
    }

    void list_vms(SoupServerMessage* message) {
        json_writer out;
        out.begin_object().name("vms").begin_array();
        for (const auto& [address, it] : vms_) {
            out.begin_object();
            out.member("address", address)
                .member("incarnation", it.incarnation)
                .member("leaving", it.leaving);
            out.end_object();
        }
        respond(message, SOUP_STATUS_OK, out.end_array().end_object().take());
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
        } else if (path == "/standin/vm") {
            const vm record{query_text(query, "incarnation"), query_number(query, "leaving", 0) != 0};
            const auto lag = std::chrono::milliseconds{query_number(query, "lag_ms", 0)};
            clock_.timers().schedule_after(
                lag, [this, address = query_text(query, "address"), record] { vms_[address] = record; });
        }
        respond(message, SOUP_STATUS_OK,
                "{\"calls\":" + std::to_string(calls_) + ",\"watches\":" + std::to_string(watches_.size()) +
                    "}");
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
    std::map<std::string, std::map<std::string, object>> objects_; ///< by kind and name
    std::map<std::string, vm> vms_;                                ///< by address, as the list shows them
    std::list<waiting_watch> watches_;                             ///< waiting for changes
    std::uint64_t revision_ = 0;                                   ///< the latest version given
    std::uint64_t calls_ = 0;                                      ///< calls taken
    fault_mode mode_ = fault_mode::none;                           ///< the fault in force
    std::int64_t delay_ms_ = 0;                                    ///< added to each call
};

int run(int argc, char** argv) {
    cxxopts::Options options{"standin_platform", "Stand-in of the platform's object API."};
    options.add_options()("listen", "IPv4:port",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:7000"));
    const auto flags = options.parse(argc, argv);
    loop_clock clock;
    standin_platform platform{clock};
    if (!platform.listen(flags["listen"].as<std::string>())) {
        std::fputs("standin_platform: cannot listen\n", stderr);
        return EXIT_FAILURE;
    }
    const gmain_loop_ptr loop{g_main_loop_new(nullptr, FALSE)};
    g_main_loop_run(loop.get());
    return EXIT_SUCCESS;
}

} // namespace

} // namespace pollengrade

int main(int argc, char** argv) {
    return pollengrade::run_program("standin_platform", [&] { return pollengrade::run(argc, argv); });
}
