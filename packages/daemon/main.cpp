/** @file main.cpp Command line and main loop of the daemon. */
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include <cxxopts.hpp>
#include <glib-unix.h>
#include <unistd.h>

#include "core/config/node_settings.h"
#include "daemon/node.h"
#include "runtime/glib_ptr.h"
#include "runtime/heap_func.h"
#include "runtime/log_writer.h"
#include "runtime/logging.h"
#include "runtime/loop_clock.h"
#include "runtime/program_func.h"
#include "runtime/random_source.h"

namespace pollengrade {

namespace {

constexpr int exit_listen = 3; ///< exit status if listening on an address fails

/** Interval between checks of the settings file, which may change without a SIGHUP. */
constexpr duration settings_check_period = std::chrono::seconds{2};

/** @return the content of a file; nullopt if it cannot be read. */
std::optional<std::string> read_file(const std::string& path) {
    const std::ifstream in{path, std::ios::binary};
    if (!in)
        return std::nullopt;
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/** Runs the daemon, and handles signals and changes of the settings file. */
class program {
public:
    program(std::string path, std::string text, node_settings settings)
        : path_{std::move(path)}, text_{std::move(text)}, loop_{g_main_loop_new(nullptr, FALSE)},
          lines_{clock_.timers(), settings.name, STDOUT_FILENO}, daemon_{std::move(settings), clock_,
                                                                         system_random()} {
        daemon_.log().set_sink([this](const event& it) { lines_.write(it); });
    }

    int run() {
        g_unix_signal_add(SIGTERM, &program::on_termination, this);
        g_unix_signal_add(SIGINT, &program::on_termination, this);
        g_unix_signal_add(SIGHUP, &program::on_hangup, this);
        if (!daemon_.start()) {
            log_line(subsystem::node, log_level::error, "failed to listen on an address given in " + path_);
            return exit_listen;
        }
        watch_settings();
        g_main_loop_run(loop_.get());
        return EXIT_SUCCESS;
    }

private:
    static gboolean on_termination(gpointer self) {
        auto* it = static_cast<program*>(self);
        it->clock_.sync();
        it->daemon_.stop([it] { g_main_loop_quit(it->loop_.get()); });
        return G_SOURCE_CONTINUE;
    }

    static gboolean on_hangup(gpointer self) {
        auto* it = static_cast<program*>(self);
        it->clock_.sync();
        it->reload();
        return G_SOURCE_CONTINUE;
    }

    void watch_settings() {
        clock_.timers().schedule_after(settings_check_period, [this] {
            reload();
            watch_settings();
        });
    }

    /** Reads the settings file again if it changed. Invalid settings are logged and ignored. */
    void reload() {
        auto text = read_file(path_);
        if (!text || *text == text_)
            return;
        text_ = std::move(*text);
        const auto settings = parse_node_settings(text_);
        if (settings) {
            daemon_.reload(*settings);
            return;
        }
        daemon_.log().record(event_kind::settings_rejected, {}, path_,
                             {{event_key::cause, describe(settings.error().front())}});
    }

    std::string path_;    ///< path of the settings file
    std::string text_;    ///< content of the settings file when last read
    loop_clock clock_;    ///< clock and timers of the main loop
    gmain_loop_ptr loop_; ///< the main loop
    log_writer lines_;    ///< writes log lines to standard output
    node daemon_;         ///< the node
};

int run(int argc, char** argv) {
    cxxopts::Options options{"pollengraded", "A node of the pollengrade query tier."};
    options.add_options()("settings", "INI file with the node's settings (docs/operators/settings.md)",
                          cxxopts::value<std::string>())("check", "check the settings and exit")(
        "version", "print the version and exit")("help", "print this help and exit");
    const auto flags = options.parse(argc, argv);
    if (flags.count("version") > 0) {
        std::cout << "pollengraded " << POLLENGRADE_VERSION << "\n";
        return EXIT_SUCCESS;
    }
    if (flags.count("help") > 0 || flags.count("settings") == 0) {
        std::cout << options.help();
        return flags.count("help") > 0 ? EXIT_SUCCESS : exit_usage;
    }
    const std::string path = flags["settings"].as<std::string>();
    auto text = read_file(path);
    if (!text) {
        std::cerr << "pollengraded: cannot read " << path << "\n";
        return exit_usage;
    }
    auto settings = parse_node_settings(*text);
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
    settings->memory = std::min(settings->memory, machine_memory());
    return program{path, std::move(*text), std::move(*settings)}.run();
}

} // namespace

} // namespace pollengrade

int main(int argc, char** argv) {
    // The settings are read later: until then a SIGHUP has nothing to do, but would end the process.
    if (std::signal(SIGHUP, SIG_IGN) == SIG_ERR)
        return EXIT_FAILURE;
    pollengrade::keep_large_buffers_out_of_heap();
    pollengrade::raise_descriptor_limit();
    return pollengrade::run_program("pollengraded", [&] { return pollengrade::run(argc, argv); });
}
