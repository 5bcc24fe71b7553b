/** @file main_loop.h The one loop of a process, on a context of its own. */
#pragma once

#include <functional>
#include <memory>

#include <glib.h>

namespace pollengrade {

/**
 * Runs everything of a process. GLib's shared default context wakes itself up on each change made to it, even
 * by its own thread; a context of its own, made the thread's default, does not.
 */
class main_loop {
public:
    main_loop();
    main_loop(const main_loop&) = delete;
    main_loop& operator=(const main_loop&) = delete;
    main_loop(main_loop&&) = delete;
    main_loop& operator=(main_loop&&) = delete;
    ~main_loop();

    /** Runs until quit(). */
    void run();
    /** Ends run(). */
    void quit();
    /** Calls @p hook at each SIGTERM and SIGINT. */
    void on_termination(std::function<void()> hook);

private:
    void add_signal(int number);

    GMainContext* context_;           ///< the thread's default while this lives
    GMainLoop* loop_;                 ///< runs the context
    std::function<void()> terminate_; ///< see on_termination()
};

} // namespace pollengrade
