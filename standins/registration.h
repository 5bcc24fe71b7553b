/** @file registration.h Stand-in servers' entries in the platform's store, kept alive as real servers do. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <libsoup/soup.h>

#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** What a stand-in server says of itself. */
struct registered_server {
    std::string id;              ///< of this start
    std::string service;         ///< what it serves
    std::string address;         ///< "IPv4:port" where callers are to connect
    std::string domain;          ///< failure domain
    std::uint32_t slots = 1;     ///< requests run at a time
    std::int64_t started_ms = 0; ///< Unix milliseconds
};

/** Writes entries at a steady beat; a call that fails is made again with the next beat. */
class registration {
public:
    /**
     * @param clock the process's clock
     * @param platform "IPv4:port" of the store
     */
    registration(loop_clock& clock, std::string platform);

    /** Starts the beat. */
    void start(std::vector<registered_server> servers);
    /** From now on the entries say that their servers are leaving. */
    void drain();

private:
    struct call_state;

    void beat();
    void send(const registered_server& it, bool creates);
    static void on_reply(GObject* session, GAsyncResult* result, gpointer data);

    loop_clock& clock_;                      ///< the process's clock
    std::string platform_;                   ///< of the store
    gobject_ptr<SoupSession> session_;       ///< connections to it
    std::vector<registered_server> servers_; ///< all
    bool draining_ = false;                  ///< see drain()
};

} // namespace pollengrade
