/** @file shell_loop.h A main loop that runs for the length of one blocking call. */
#pragma once

#include "net/socket_poller.h"
#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

/** The loop of one call of the command line. */
class shell_loop {
public:
    shell_loop() : poller_{clock_}, loop_{g_main_loop_new(nullptr, FALSE)} {}

    /** Runs until quit(). */
    void run() { g_main_loop_run(loop_.get()); }
    void quit() { g_main_loop_quit(loop_.get()); }

    [[nodiscard]] timer_queue& timers() noexcept { return clock_.timers(); }
    [[nodiscard]] socket_poller& poller() noexcept { return poller_; }

private:
    loop_clock clock_;     ///< its clock
    socket_poller poller_; ///< its sockets
    gmain_loop_ptr loop_;  ///< the loop itself
};

} // namespace pollengrade
