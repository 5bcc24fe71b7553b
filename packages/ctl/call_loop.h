/** @file call_loop.h A main loop for one blocking call. */
#pragma once

#include "net/socket_poller.h"
#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** Runs a GLib main loop with timers and sockets for the duration of one blocking call. */
class call_loop {
public:
    call_loop() : poller_{clock_}, loop_{g_main_loop_new(nullptr, FALSE)} {}

    /** Blocks until quit() is called. */
    void run() { g_main_loop_run(loop_.get()); }
    void quit() { g_main_loop_quit(loop_.get()); }

    [[nodiscard]] timer_queue& timers() noexcept { return clock_.timers(); }
    [[nodiscard]] socket_poller& poller() noexcept { return poller_; }

private:
    loop_clock clock_;     ///< provides the time and the timers
    socket_poller poller_; ///< watches the sockets
    gmain_loop_ptr loop_;  ///< GLib main loop
};

} // namespace pollengrade
