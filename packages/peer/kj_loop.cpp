/** @file kj_loop.cpp A KJ event port on GLib's default main context. */
#include "peer/kj_loop.h"

namespace pollengrade {

kj_loop::kj_loop() : loop_{*this}, scope_{loop_} {}

kj_loop::~kj_loop() noexcept(false) {
    if (idle_ != 0)
        g_source_remove(idle_);
}

bool kj_loop::wait() {
    g_main_context_iteration(nullptr, TRUE);
    return false;
}

bool kj_loop::poll() {
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
    return false;
}

void kj_loop::setRunnable(bool runnable) {
    if (runnable && idle_ == 0)
        idle_ = g_idle_add_full(G_PRIORITY_DEFAULT, &kj_loop::on_idle, this, nullptr);
}

gboolean kj_loop::on_idle(gpointer self) {
    auto* it = static_cast<kj_loop*>(self);
    it->idle_ = 0;
    it->loop_.run();
    return G_SOURCE_REMOVE;
}

} // namespace pollengrade
