/** @file registration.h Registers stand-in servers in the platform's store and renews their entries as real
 * servers do. */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <libsoup/soup.h>

#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** Entry of a stand-in server in the store. */
struct registered_server {
    std::string id;              ///< new for each start
    std::string service;         ///< service that it provides
    std::string address;         ///< "IPv4:port" that callers connect to
    std::string domain;          ///< failure domain
    std::uint32_t slots = 1;     ///< requests run concurrently
    std::int64_t started_ms = 0; ///< start time in Unix milliseconds
};

/** Writes the entries at a fixed interval; a failed call is retried with the next heartbeat. */
class registration {
public:
    /**
     * @param clock the process's clock
     * @param platform "IPv4:port" of the platform's store
     */
    registration(loop_clock& clock, std::string platform);

    /** Registers the servers and starts the heartbeats. */
    void start(std::vector<registered_server> servers);
    /** Marks the entries as draining, at once and in all later heartbeats. */
    void drain();
    /** Removes the entries without a word before, and writes no more. */
    void remove();

private:
    struct call_state;

    void send_heartbeats();
    void send(const registered_server& it, bool creates);
    void send_removal(const registered_server& it);
    void send_request(std::unique_ptr<call_state> state, const std::string& body);
    /** Prints that the store took an entry that reads draining, or its removal. */
    static void print_left(const registered_server& it, const char* how);
    static void on_reply(GObject* session, GAsyncResult* result, gpointer data);

    loop_clock& clock_;                      ///< the process's clock
    std::string platform_;                   ///< address of the store
    gobject_ptr<SoupSession> session_;       ///< connections to the store
    std::vector<registered_server> servers_; ///< registered servers
    bool draining_ = false;                  ///< see drain()
    bool removed_ = false;                   ///< see remove()
};

} // namespace pollengrade
