/** @file loop_clock.cpp The GLib event source that drives the timer queue. */
#include "runtime/loop_clock.h"

#include <utility>

namespace pollengrade {

namespace {

/** Functions of an event source that is dispatched only at its ready time. */
// NOLINTNEXTLINE(cppcoreguidelines-avoid-non-const-global-variables): GLib's parameter is non-const
GSourceFuncs ready_time_functions{nullptr,
                                  nullptr,
                                  [](GSource*, GSourceFunc callback, gpointer self) -> gboolean {
                                      return callback(self); },
                                  nullptr,
                                  nullptr,
                                  nullptr};

} // namespace

time_point monotonic_now() {
    return time_point{duration{g_get_monotonic_time()}};
}

wall_time wall_now() {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

loop_clock::loop_clock()
    : timers_{monotonic_now()}, source_{g_source_new(&ready_time_functions, sizeof(GSource))} {
    g_source_set_callback(source_, &loop_clock::on_timeout, this, nullptr);
    g_source_attach(source_, nullptr);
    timers_.set_rearm_hook([this] { rearm(); });
}

loop_clock::~loop_clock() {
    g_source_destroy(source_);
    g_source_unref(source_);
}

void loop_clock::rearm() {
    const auto next = timers_.next_deadline();
    const gint64 wanted = next ? next->time_since_epoch().count() : -1;
    // Setting the ready time costs a system call even if it doesn't change.
    if (std::exchange(armed_at_, wanted) != wanted)
        g_source_set_ready_time(source_, wanted);
}

void loop_clock::sync() {
    if (syncing_)
        return;
    syncing_ = true;
    timers_.advance_to(monotonic_now());
    syncing_ = false;
    rearm();
}

gboolean loop_clock::on_timeout(gpointer self) {
    auto* clock = static_cast<loop_clock*>(self);
    if (clock->before_timers_)
        clock->before_timers_();
    clock->sync();
    return G_SOURCE_CONTINUE;
}

} // namespace pollengrade
