/** @file upstream_server.h One stand-in server of a service. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <libsoup/soup.h>

#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** How a stand-in server behaves; every field can be changed while it runs. */
struct upstream_behaviour {
    std::uint32_t slots = 2;              ///< requests run at a time
    std::uint32_t queue = 16;             ///< requests kept waiting; more are shed
    std::uint32_t connections = 25;       ///< connections taken; more are closed at once
    std::uint32_t connect_ms = 0;         ///< cost of a new connection
    std::uint32_t service_us = 2000;      ///< mean time to run a request
    std::uint32_t straggle_per_mille = 0; ///< share of requests that straggle
    std::uint32_t straggle_ms = 0;        ///< how long those take
    std::uint32_t cold_ms = 0;            ///< after its start, requests take five times as long
    std::uint32_t rows = 3;               ///< rows in a search's reply
    bool frozen = false;                  ///< takes requests and never answers
    bool draining = false;                ///< refuses, saying that it is leaving
    bool shedding = false;                ///< refuses for load
    bool drop_after_run = false;          ///< runs the request, then closes the connection
    bool truncate = false;                ///< replies with half of the JSON
    bool wrong_request = false;           ///< replies with another request's ID
    bool wrong_version = false;           ///< replies from another index version
    std::set<std::uint64_t> versions{1};  ///< index versions held
};

/** How a server of the users' interface is named; the other interface knows servers by their addresses. */
struct forwarded_names {
    std::string service; ///< what it serves
    std::string server;  ///< its ID in the store
};

/** What all stand-in servers of a process count together. */
struct upstream_counts {
    std::uint64_t started = 0;                   ///< requests begun
    std::uint64_t finished = 0;                  ///< requests run to their end
    std::uint64_t cancelled_waiting = 0;         ///< withdrawn before they began
    std::uint64_t cancelled_running = 0;         ///< withdrawn while they ran
    std::uint64_t shed = 0;                      ///< refused for load
    std::uint64_t connections_refused = 0;       ///< over the connection limit
    std::uint32_t most_connections = 0;          ///< most open at one server
    std::map<std::string, std::uint32_t> orders; ///< runs by idempotency key
};

/** One server: a listener with a connection limit, slots, and faults. */
class upstream_server {
public:
    upstream_server(loop_clock& clock, std::function<std::uint64_t()>& random, upstream_counts& counts,
                    std::string address, std::string service, std::uint32_t shard,
                    upstream_behaviour behaviour);
    upstream_server(const upstream_server&) = delete;
    upstream_server& operator=(const upstream_server&) = delete;
    upstream_server(upstream_server&&) = delete;
    upstream_server& operator=(upstream_server&&) = delete;
    ~upstream_server();

    /** Serves the users' interface from now on, and prints a line for each request that it begins to run. */
    void serve_forwarded(forwarded_names names) { names_ = std::move(names); }
    /** Starts to listen. */
    bool start();
    /** Stops without notice: open connections are closed and new ones refused. */
    void stop();
    /** From now on, requests on connections that are open now are never answered. */
    void silence_open_connections();

    [[nodiscard]] upstream_behaviour& behaviour() noexcept { return behaviour_; }
    [[nodiscard]] const std::string& address() const noexcept { return address_; }
    [[nodiscard]] std::uint32_t shard() const noexcept { return shard_; }

private:
    struct work;

    static gboolean on_incoming(GSocketService* service, GSocketConnection* connection, GObject* source,
                                gpointer self);
    static void on_connection_gone(gpointer self, GObject* where);
    static void on_request(SoupServer* server, SoupServerMessage* message, const char* path,
                           GHashTable* query, gpointer self);
    static void on_finished(SoupServerMessage* message, gpointer data);
    /** Closes what its client has closed: the library does not always. */
    void close_ended_connections();
    void accept(GSocketConnection* connection);
    void take(SoupServerMessage* message, const std::string& path, GHashTable* query);
    void take_forwarded(SoupServerMessage* message);
    void enqueue(std::shared_ptr<work> it);
    void complete_forwarded(const work& it);
    [[nodiscard]] const char* refusal(SoupServerMessage* message) const;
    [[nodiscard]] bool is_silent(SoupServerMessage* message) const;
    void start_waiting();
    void begin(const std::shared_ptr<work>& it);
    void complete(work& it);
    [[nodiscard]] std::string reply_body(const work& it) const;
    [[nodiscard]] duration draw_service_time();

    loop_clock& clock_;                             ///< the process's clock
    std::function<std::uint64_t()>& random_;        ///< random numbers
    upstream_counts& counts_;                       ///< shared counts
    std::string address_;                           ///< "IPv4:port"
    std::string service_;                           ///< the service
    std::uint32_t shard_;                           ///< the shard held
    upstream_behaviour behaviour_;                  ///< how it behaves
    std::optional<forwarded_names> names_;          ///< see serve_forwarded()
    std::string incarnation_;                       ///< changes with each start
    time_point started_{};                          ///< when it was last started
    gobject_ptr<SoupServer> server_;                ///< the HTTP side
    gobject_ptr<GSocketService> listener_;          ///< the TCP side
    std::set<GObject*> open_;                       ///< open connections
    std::map<std::uint16_t, std::uint32_t> epochs_; ///< the epoch in which each peer's port connected
    std::uint32_t epoch_ = 0;                       ///< rises when open connections fall silent
    std::deque<std::shared_ptr<work>> waiting_;     ///< requests without a slot
    std::uint32_t running_ = 0;                     ///< slots taken
    timer_id sweep_{};                              ///< the next close_ended_connections()
};

} // namespace pollengrade
