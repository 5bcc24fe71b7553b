/** @file main_loop.cpp The loop by GLib. */
#include "runtime/main_loop.h"

#include <csignal>
#include <utility>

#include <glib-unix.h>

namespace pollengrade {

main_loop::main_loop() : context_{g_main_context_new()}, loop_{g_main_loop_new(context_, FALSE)} {
    g_main_context_push_thread_default(context_);
}

main_loop::~main_loop() {
    g_main_loop_unref(loop_);
    g_main_context_pop_thread_default(context_);
    g_main_context_unref(context_);
}

void main_loop::run() {
    g_main_loop_run(loop_);
}

void main_loop::quit() {
    g_main_loop_quit(loop_);
}

void main_loop::on_termination(std::function<void()> hook) {
    terminate_ = std::move(hook);
    add_signal(SIGTERM);
    add_signal(SIGINT);
}

void main_loop::add_signal(int number) {
    GSource* source = g_unix_signal_source_new(number);
    const GSourceFunc run = [](gpointer self) -> gboolean {
        static_cast<main_loop*>(self)->terminate_();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source, run, this, nullptr);
    g_source_attach(source, context_);
    g_source_unref(source);
}

} // namespace pollengrade
