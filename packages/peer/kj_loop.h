/** @file kj_loop.h Runs Cap'n Proto's event loop on the GLib main loop. */
#pragma once

#include <glib.h>
#include <kj/async.h>

namespace pollengrade {

/** Runs KJ's events on the GLib main loop. A process has one, which must outlive every KJ promise. */
class kj_loop : private kj::EventPort {
public:
    kj_loop();
    kj_loop(const kj_loop&) = delete;
    kj_loop& operator=(const kj_loop&) = delete;
    kj_loop(kj_loop&&) = delete;
    kj_loop& operator=(kj_loop&&) = delete;
    ~kj_loop() noexcept(false);

private:
    bool wait() override;
    bool poll() override;
    void setRunnable(bool runnable) override;
    static gboolean on_idle(gpointer self);

    guint idle_ = 0;      ///< the GLib source that runs KJ's events; 0 if none is ready
    kj::EventLoop loop_;  ///< KJ's event queue
    kj::WaitScope scope_; ///< binds the event loop to the current thread
};

} // namespace pollengrade
