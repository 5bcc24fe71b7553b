/** @file main.cpp The daemon's command line. */
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <cxxopts.hpp>
#include <glib-unix.h>

#include "core/config/node_settings.h"
#include "daemon/node.h"
#include "runtime/glib_ptr.h"
#include "runtime/logging.h"
#include "runtime/loop_clock.h"
#include "runtime/program_func.h"
#include "runtime/random_source.h"

namespace pollengrade {

namespace {

constexpr int exit_listen = 3; ///< an address cannot be listened on

/** What a termination signal needs. */
struct termination {
    node* daemon;
    GMainLoop* loop;
};

gboolean on_termination(gpointer data) {
    const auto* it = static_cast<const termination*>(data);
    it->daemon->stop([loop = it->loop] { g_main_loop_quit(loop); });
    return G_SOURCE_CONTINUE;
}

int run(int argc, char** argv) {
    cxxopts::Options options{"pollengraded", "A node of the pollengrade query tier."};
    options.add_options()("settings", "INI file with the node's settings (docs/operators/settings.md)",
                          cxxopts::value<std::string>())("check", "check the settings and end")("help",
                                                                                                "this text");
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0 || flags.count("settings") == 0) {
        std::cout << options.help();
        return flags.count("help") > 0 ? EXIT_SUCCESS : exit_usage;
    }
    const std::string path = flags["settings"].as<std::string>();
    const std::ifstream in{path};
    if (!in) {
        std::cerr << "pollengraded: cannot read " << path << "\n";
        return exit_usage;
    }
    std::ostringstream text;
    text << in.rdbuf();
    auto settings = parse_node_settings(text.str());
    if (!settings) {
        for (const settings_error& it : settings.error())
            std::cerr << path << ": " << describe(it) << "\n";
        return exit_usage;
    }
    if (flags.count("check") > 0)
        return EXIT_SUCCESS;
    if (!start_logging(settings->name, settings->debug)) {
        std::cerr << path << ": [node] debug: unknown subsystem\n";
        return exit_usage;
    }

    loop_clock clock;
    const gmain_loop_ptr loop{g_main_loop_new(nullptr, FALSE)};
    node daemon{std::move(*settings), clock, system_random()};
    if (!daemon.start()) {
        log_line(subsystem::node, log_level::error, "cannot listen on one of the addresses in " + path);
        return exit_listen;
    }
    termination on_signal{&daemon, loop.get()};
    g_unix_signal_add(SIGTERM, &on_termination, &on_signal);
    g_unix_signal_add(SIGINT, &on_termination, &on_signal);
    g_main_loop_run(loop.get());
    return EXIT_SUCCESS;
}

} // namespace

} // namespace pollengrade

int main(int argc, char** argv) {
    return pollengrade::run_program("pollengraded", [&] { return pollengrade::run(argc, argv); });
}
