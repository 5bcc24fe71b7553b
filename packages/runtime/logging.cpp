/** @file logging.cpp Logging through easylogging++. */
#include "runtime/logging.h"

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdio>
#include <string>
#include <utility>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace pollengrade {

namespace {

constexpr std::size_t subsystem_count = static_cast<std::size_t>(subsystem::count);
constexpr std::array<std::string_view, subsystem_count> subsystem_names{"node",  "config", "upstream",
                                                                        "order", "peer",   "platform"};

std::bitset<subsystem_count>& debug_subsystems() {
    static std::bitset<subsystem_count> it;
    return it;
}

std::function<void(std::string_view)>& line_sink() {
    static std::function<void(std::string_view)> it;
    return it;
}

/** Passes formatted lines to the line sink, replacing the library's own output. */
class line_dispatch : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) override {
        const std::string line = data->logMessage()->logger()->logBuilder()->build(data->logMessage(), true);
        if (line_sink())
            line_sink()(line);
        else
            std::fwrite(line.data(), 1, line.size(), stdout);
    }
};

bool enable_debug(std::string_view name) {
    if (name == "all") {
        debug_subsystems().set();
        return true;
    }
    for (std::size_t n = 0; n < subsystem_count; ++n) {
        if (subsystem_names.at(n) == name) {
            debug_subsystems().set(n);
            return true;
        }
    }
    return false;
}

} // namespace

bool start_logging(std::string_view program, std::string_view debug) {
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} " + std::string{program} + " %level %msg");
    el::Loggers::reconfigureAllLoggers(settings);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<line_dispatch>("line_dispatch");
    while (!debug.empty()) {
        const auto comma = debug.find(',');
        if (!enable_debug(debug.substr(0, comma)))
            return false;
        debug = comma == std::string_view::npos ? std::string_view{} : debug.substr(comma + 1);
    }
    return true;
}

void set_line_sink(std::function<void(std::string_view)> sink) {
    line_sink() = std::move(sink);
}

void write_line(std::string_view text) {
    LOG(INFO) << text;
}

void log_line(subsystem part, log_level level, std::string_view text) {
    const auto n = static_cast<std::size_t>(part);
    const std::string line = std::string{subsystem_names.at(n)} + ": " + std::string{text};
    switch (level) {
    case log_level::debug:
        if (debug_subsystems().test(n))
            LOG(DEBUG) << line;
        break;
    case log_level::info:
        LOG(INFO) << line;
        break;
    case log_level::warning:
        LOG(WARNING) << line;
        break;
    case log_level::error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace pollengrade
