/** @file fleet.cpp Starts the processes of a fleet and reads what the kernel tells of the node. */
#include "crowd/fleet.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "crowd/http_call.h"
#include "process_func.h"
#include "routes_text.h"

namespace pollengrade {

namespace {

constexpr std::uint32_t crowd_net = 90; ///< second octet of all addresses
constexpr int polls_per_second = 100;
constexpr unsigned ok = 200;
constexpr useconds_t poll_period_us = 1'000'000 / polls_per_second;

/** Waits until a condition holds, at most half a minute. */
template <typename Condition> bool wait_for(Condition holds) {
    constexpr int limit_s = 30;
    for (int n = 0; n < limit_s * polls_per_second; ++n) {
        if (holds())
            return true;
        ::usleep(poll_period_us);
    }
    return false;
}

/** @return the address as /proc/net/tcp writes it: hexadecimal, "ADDRESS:PORT" in the machine's byte order.
 */
std::string proc_address(const std::string& address) {
    const auto colon = address.find(':');
    in_addr it{};
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &it);
    std::ostringstream text;
    text << std::hex << std::uppercase;
    text.fill('0');
    text.width(8);
    text << it.s_addr << ':';
    text.width(4);
    text << std::stoul(address.substr(colon + 1));
    return text.str();
}

/** @return the bytes that the kernel holds for all connections at a local address, in both directions. */
std::size_t bytes_in_kernel(const std::string& address) {
    constexpr int base = 16;
    const std::string local = proc_address(address);
    std::ifstream in{"/proc/net/tcp"};
    std::size_t sum = 0;
    for (std::string line; std::getline(in, line);) {
        std::istringstream words{line};
        std::string number;
        std::string from;
        std::string to;
        std::string state;
        std::string queues;
        words >> number >> from >> to >> state >> queues;
        constexpr std::string_view listening = "0A"; // Its queue counts connections, not bytes.
        if (from != local || state == listening)
            continue;
        const auto colon = queues.find(':');
        sum += std::stoul(queues.substr(0, colon), nullptr, base);
        sum += std::stoul(queues.substr(colon + 1), nullptr, base);
    }
    return sum;
}

/** @return the daemon under test: POLLENGRADED, as for the other scenarios, or that of this build. */
std::string daemon_path() {
    const char* it = std::getenv("POLLENGRADED"); // NOLINT(concurrency-mt-unsafe): there is one thread
    return it == nullptr ? DAEMON : it;
}

} // namespace

child_process::child_process(const std::vector<std::string>& arguments, std::size_t descriptors)
    : id_{::fork()} {
    REQUIRE(id_ >= 0);
    if (id_ > 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // NOLINT(*-vararg): the signature of prctl()
    if (descriptors > 0) {
        const rlimit limit{descriptors, descriptors};
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    const int log = ::open("/dev/null", O_WRONLY); // NOLINT(*-vararg): the signature of open()
    ::dup2(log, STDOUT_FILENO);
    std::vector<char*> words;
    words.reserve(arguments.size() + 1);
    for (const std::string& it : arguments)
        words.push_back(const_cast<char*>(it.c_str())); // NOLINT(*-const-cast): execv() only reads
    words.push_back(nullptr);
    ::execv(words.front(), words.data());
    ::_exit(EXIT_FAILURE);
}

child_process::~child_process() {
    if (!is_running())
        return;
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
}

bool child_process::is_running() {
    int status = 0;
    if (!status_ && ::waitpid(id_, &status, WNOHANG) == id_)
        status_ = status;
    return !status_;
}

std::optional<int> child_process::wait(std::size_t seconds) {
    for (std::size_t n = 0; n < seconds * polls_per_second && is_running(); ++n)
        ::usleep(poll_period_us);
    if (is_running() || !WIFEXITED(*status_))
        return std::nullopt;
    return WEXITSTATUS(*status_);
}

fleet::fleet(const fleet_options& options) {
    config_.net = crowd_net;
    config_.nodes = 2;
    config_.replicas = 2;
    path_ = (std::filesystem::temp_directory_path() / ("pollengrade-crowd-" + std::to_string(::getpid())))
                .string();
    store_.emplace(std::vector<std::string>{STANDIN_PLATFORM, "--listen", config_.store_address()});
    REQUIRE(wait_for([this] {
        return call(config_.store_address(), "GET", std::string{wire_names::objects_path} + "none")
            .has_value();
    }));
    if (options.has_routes)
        write_routes();
    if (!options.is_alone)
        start_servers(options);
    node_.emplace(command_of_node(0, options), options.descriptors);
    if (!options.is_alone) {
        other_node_.emplace(command_of_node(1, options));
    } else {
        REQUIRE(wait_for(
            [this] { return call(config_.node_readiness(0), "GET", wire_names::readiness_path) == ok; }));
        start_servers(options);
    }
    wait_until_ready(options.has_routes);
}

void fleet::start_servers(const fleet_options& options) {
    upstreams_.emplace(std::vector<std::string>{STANDIN_UPSTREAMS,
                                                "--service",
                                                service_family,
                                                "--net",
                                                std::to_string(crowd_net),
                                                "--shards",
                                                std::to_string(service_count),
                                                "--replicas",
                                                std::to_string(config_.replicas),
                                                "--slots",
                                                "32",
                                                "--queue",
                                                "400",
                                                "--connections",
                                                "64",
                                                "--service-us",
                                                std::to_string(options.service_us),
                                                "--body-bytes",
                                                std::to_string(options.body_bytes),
                                                "--control",
                                                config_.control_address(0),
                                                "--platform",
                                                config_.store_address()});
}

std::vector<std::string> fleet::command_of_node(std::uint32_t n, const fleet_options& options) const {
    const std::string settings = path_ + "-" + std::to_string(n) + ".ini";
    const std::uint32_t seeds = options.is_alone ? 247 : 250; // Nothing listens at the first.
    std::ofstream out{settings};
    out << "[node]\nname = node-" << n << "\nfailure_domain = domain-0\n"
        << "interface = " << (options.has_routes ? "routes" : "documents") << "\n"
        << "callers = " << config_.node_address(n) << "\nreadiness = " << config_.node_readiness(n) << "\n"
        << "operators = " << config_.host(250, n + 1) << ":8002\n"
        << "peers = " << config_.host(250, n + 1) << ":8003\n"
        << "memory_mb = " << options.memory_mb << "\ngrace_s = " << options.grace_s << "\n"
        << "[platform]\naddress = " << config_.store_address() << "\n"
        << "[cluster]\nseeds = " << config_.host(seeds, 1) << ":8003," << config_.host(seeds, 2) << ":8003\n"
        << "[retries]\nratio = 0.2\nslack = 40\nwindow_s = 10\n";
    return {daemon_path(), "--settings", settings};
}

void fleet::write_routes() {
    constexpr std::uint32_t many_connections = 64;
    const bool is_first = version_ == 0;
    const route_version version{++version_, {0, 1, 2, 3, 4, 5}, {}, {}};
    const std::string path = std::string{wire_names::objects_path} + wire_names::routes_kind;
    constexpr unsigned created = 201;
    const auto reply = call(config_.store_address(), is_first ? "POST" : "PUT",
                            is_first ? path : path + "/" + wire_names::routes_name,
                            routes_object(version, 0, many_connections));
    REQUIRE(reply.has_value());
    REQUIRE(*reply == (is_first ? created : ok));
}

void fleet::wait_until_ready(bool has_routes) const {
    REQUIRE(wait_for([this] { return call(operators(), "GET", "/healthz") == ok; }));
    // A node is ready before it knows all servers, so the request itself is tried.
    REQUIRE(wait_for([this, has_routes] { return !has_routes || ask() == ok; }));
}

void fleet::sample() {
    kernel_peak_ = std::max(kernel_peak_, bytes_in_kernel(callers()) + bytes_in_kernel(operators()));
}

memory_use fleet::memory() const {
    return {peak_memory(node_->id()), kernel_peak_};
}

std::size_t fleet::descriptors() const {
    std::size_t count = 0;
    for ([[maybe_unused]] const auto& it :
         std::filesystem::directory_iterator{"/proc/" + std::to_string(node_->id()) + "/fd"})
        ++count;
    return count;
}

void fleet::change_servers(const std::string& change) const {
    REQUIRE(call(config_.control_address(0), "GET", "/set?" + change) == 200U);
}

unsigned fleet::ask() const {
    return call(callers(), "GET", path_of(route_kind::lookup, 1) + "ordinary").value_or(0);
}

} // namespace pollengrade
