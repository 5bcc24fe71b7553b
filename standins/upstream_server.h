/** @file upstream_server.h A stand-in server of one service, with adjustable faults. */
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

#include "broken_reply.h"
#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** How a stand-in server behaves; every field can be changed while it runs. */
struct upstream_behaviour {
    std::uint32_t slots = 2;              ///< requests run concurrently
    std::uint32_t queue = 16;             ///< requests queued at most; further ones are shed
    std::uint32_t connections = 25;       ///< connections accepted at most; further ones are closed at once
    std::uint32_t connect_ms = 0;         ///< delay before a new connection is served
    std::uint32_t service_us = 2000;      ///< mean time to run a request
    std::uint32_t straggle_per_mille = 0; ///< share of slow requests, in thousandths
    std::uint32_t straggle_ms = 0;        ///< duration of a slow request
    std::uint32_t cold_ms = 0; ///< time after the start in which requests handle_request five times as long
    std::uint32_t rows = 3;    ///< rows in a search reply
    std::uint32_t body_bytes = 0; ///< size to which the body of a reply to a forwarded request is padded
    bool frozen = false;          ///< accepts requests and never answers
    bool draining = false;        ///< refuses requests with the reason "draining"
    bool shedding = false;        ///< refuses requests because of overload
    bool drop_after_run = false;  ///< runs the request, then closes the connection
    bool truncate = false;        ///< sends only the first half of the JSON
    bool wrong_request = false;   ///< replies with the ID of another request
    bool wrong_version = false;   ///< replies with another index version
    bool cut_head = false;        ///< runs the request, then sends half of a reply's head and closes
    broken_reply broken = broken_reply::none; ///< how replies to forwarded requests are broken
    bool states_leaving = false; ///< states in each reply that it leaves, though its entry reads ready
    std::uint32_t pause_ms = 20; ///< pause that a refusal because of overload asks for
    std::set<std::uint64_t> versions{1}; ///< index versions held
};

/** Names of a server of the users' interface; the other interface identifies servers by their addresses. */
struct forwarded_names {
    std::string service; ///< service that it provides
    std::string server;  ///< its ID in the platform's store
    std::int64_t started_ms =
        0; ///< start of the server, Unix milliseconds; a later start may have the same ID

    /** @return the server in one of its starts, as nodes name it in their logs. */
    [[nodiscard]] std::string incarnation() const { return server + "@" + std::to_string(started_ms); }
};

/** Counters shared by all stand-in servers of a process. */
struct upstream_counts {
    std::uint64_t started = 0;                   ///< requests that began to run
    std::uint64_t finished = 0;                  ///< requests that ran to completion
    std::uint64_t cancelled_waiting = 0;         ///< requests cancelled in the queue
    std::uint64_t cancelled_running = 0;         ///< requests cancelled while running
    std::uint64_t shed = 0;                      ///< requests refused because of overload
    std::uint64_t connections_refused = 0;       ///< connections closed because of the limit
    std::uint32_t most_connections = 0;          ///< highest number open at one server
    std::map<std::string, std::uint32_t> orders; ///< executions by idempotency key
};

/** A listener with a connection limit, a limited number of slots, and injectable faults. */
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

    /** Switches to the users' interface, and prints a line for each request that begins to run. */
    void serve_forwarded(forwarded_names names) { names_ = std::move(names); }
    /** Starts to listen. @return false if the address cannot be bound */
    bool start();
    /** Stops abruptly: closes open connections and refuses new ones. */
    void stop();
    /** Never answers further requests on the connections that are currently open. */
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
    /** Closes connections whose client has closed them; libsoup does not always notice. */
    void close_ended_connections();
    void accept(GSocketConnection* connection);
    void handle_request(SoupServerMessage* message, const std::string& path, GHashTable* query);
    void handle_forwarded(SoupServerMessage* message);
    void enqueue(std::shared_ptr<work> it);
    void complete_forwarded(const work& it);
    void complete_broken(const work& it);
    [[nodiscard]] const char* refusal(SoupServerMessage* message) const;
    [[nodiscard]] bool is_silent(SoupServerMessage* message) const;
    void start_waiting();
    void begin(const std::shared_ptr<work>& it);
    void complete(work& it);
    [[nodiscard]] std::string reply_body(const work& it) const;
    [[nodiscard]] duration random_service_time();

    loop_clock& clock_;                             ///< the process's clock
    std::function<std::uint64_t()>& random_;        ///< random number generator
    upstream_counts& counts_;                       ///< counters of the process
    std::string address_;                           ///< "IPv4:port"
    std::string service_;                           ///< name of the service
    std::uint32_t shard_;                           ///< shard that it serves
    upstream_behaviour behaviour_;                  ///< current behaviour and faults
    std::optional<forwarded_names> names_;          ///< see serve_forwarded()
    std::string incarnation_;                       ///< changes with each start
    time_point started_{};                          ///< time of the last start
    gobject_ptr<SoupServer> server_;                ///< handles HTTP
    gobject_ptr<GSocketService> listener_;          ///< accepts TCP connections
    std::set<GObject*> open_;                       ///< open connections
    std::map<std::uint16_t, std::uint32_t> epochs_; ///< epoch of each connection, by the client's port
    std::uint32_t epoch_ = 0;                       ///< incremented by silence_open_connections()
    std::deque<std::shared_ptr<work>> waiting_;     ///< queued requests
    std::uint32_t running_ = 0;                     ///< occupied slots
    timer_id sweep_timer_{};                        ///< timer of the next close_ended_connections()
};

} // namespace pollengrade
