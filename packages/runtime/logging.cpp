/** @file logging.cpp Log lines by easylogging++. */
#include "runtime/logging.h"

#include <array>
#include <bitset>
#include <cstddef>
#include <string>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace pollengrade {

namespace {

constexpr std::size_t subsystem_count = static_cast<std::size_t>(subsystem::count);
constexpr std::array<std::string_view, subsystem_count> subsystem_names{"node",  "config", "upstream",
                                                                        "order", "peer",   "platform"};

std::bitset<subsystem_count>& debugged() {
    static std::bitset<subsystem_count> it;
    return it;
}

bool enable_debug(std::string_view name) {
    if (name == "all") {
        debugged().set();
        return true;
    }
    for (std::size_t n = 0; n < subsystem_count; ++n) {
        if (subsystem_names.at(n) == name) {
            debugged().set(n);
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
    while (!debug.empty()) {
        const auto comma = debug.find(',');
        if (!enable_debug(debug.substr(0, comma)))
            return false;
        debug = comma == std::string_view::npos ? std::string_view{} : debug.substr(comma + 1);
    }
    return true;
}

void log_line(subsystem part, log_level level, std::string_view text) {
    const auto n = static_cast<std::size_t>(part);
    const std::string line = std::string{subsystem_names.at(n)} + ": " + std::string{text};
    switch (level) {
    case log_level::debug:
        if (debugged().test(n))
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
