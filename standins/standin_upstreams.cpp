/** @file standin_upstreams.cpp Runs many stand-in servers of one service in one process. */
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <cxxopts.hpp>
#include <glib-unix.h>
#include <libsoup/soup.h>

#include "http/header_names.h"
#include "http/uri_func.h"
#include "registration.h"
#include "runtime/glib_ptr.h"
#include "runtime/loop_clock.h"
#include "runtime/program_func.h"
#include "runtime/random_source.h"
#include "soup/soup_func.h"
#include "upstream_server.h"
#include "json/json_view.h"

namespace pollengrade {

namespace {

/** Addresses of the servers: 127.NET.SHARD.(1 + replica):port; NET increases by one for every 250 shards. */
struct layout {
    std::string service;
    std::uint32_t net = 0;
    std::uint32_t shards = 0;
    std::uint32_t replicas = 0;
    std::uint32_t port = 0;
    std::uint32_t first_replica = 0; ///< lower replicas are served by another process

    [[nodiscard]] std::string address(std::uint32_t shard, std::uint32_t replica) const {
        return address(shard, replica, port);
    }

    [[nodiscard]] std::string address(std::uint32_t shard, std::uint32_t replica, std::uint32_t at) const {
        constexpr std::uint32_t shards_per_net = 250; // The third octet is at most 255.
        return "127." + std::to_string(net + shard / shards_per_net) + "." +
               std::to_string(shard % shards_per_net) + "." + std::to_string(replica + 1) + ":" +
               std::to_string(at);
    }

    [[nodiscard]] std::string shard_maps(const std::set<std::uint64_t>& versions) const {
        json_writer out;
        out.begin_object().name("versions").begin_array();
        for (const std::uint64_t version : versions) {
            out.begin_object().member("version", version).name("shards").begin_array();
            for (std::uint32_t shard = 0; shard < shards; ++shard) {
                out.begin_object().member("id", shard).name("replicas").begin_array();
                for (std::uint32_t replica = 0; replica < replicas; ++replica)
                    out.value(address(shard, replica));
                out.end_array().end_object();
            }
            out.end_array().end_object();
        }
        return out.end_array().end_object().take();
    }
};

constexpr std::uint32_t domains = 3; ///< failure domains, assigned by replica
constexpr duration drain_time =
    std::chrono::milliseconds{3500}; ///< longer than nodes may take to notice the drain

/** @return a numeric parameter of a control call; nullopt when it is absent. */
std::optional<std::uint64_t> query_number(GHashTable* query, const char* name) {
    const char* text = static_cast<const char*>(g_hash_table_lookup(query, name));
    return text == nullptr ? std::nullopt : parse_natural(text);
}

/** All servers of the process and their control page. */
class standin_upstreams {
public:
    standin_upstreams(loop_clock& clock, std::function<std::uint64_t()> random)
        : clock_{clock}, random_{std::move(random)}, control_{SOUP_SERVER(
                                                         g_object_new(SOUP_TYPE_SERVER, nullptr))} {
        soup_server_add_handler(control_.get(), nullptr, &standin_upstreams::on_control, this, nullptr);
    }

    bool listen(const std::string& control, const layout& where, const upstream_behaviour& behaviour) {
        for (std::uint32_t shard = 0; shard < where.shards; ++shard) {
            for (std::uint32_t replica = where.first_replica; replica < where.first_replica + where.replicas;
                 ++replica) {
                servers_.push_back(std::make_unique<upstream_server>(clock_, random_, counts_,
                                                                     where.address(shard, replica),
                                                                     where.service, shard, behaviour));
                if (!servers_.back()->start())
                    return false;
            }
        }
        const auto address = to_socket_address(control);
        return soup_server_listen(control_.get(), address.get(), static_cast<SoupServerListenOptions>(0),
                                  nullptr) != FALSE;
    }

    /** Switches to the users' interface: each shard is a service whose servers are registered in the
     * platform's store. */
    void serve_forwarded(const std::string& platform, const layout& where, std::uint32_t advertised_port,
                         std::uint32_t slots) {
        std::puts(""); // The line before it may have been cut by the end of an earlier process.
        std::vector<registered_server> entries;
        std::size_t n = 0;
        for (std::uint32_t shard = 0; shard < where.shards; ++shard) {
            for (std::uint32_t replica = where.first_replica; replica < where.first_replica + where.replicas;
                 ++replica) {
                const forwarded_names names{where.service + "-" + std::to_string(shard),
                                            "i-" + std::to_string(random_()),
                                            wall_now().time_since_epoch().count()};
                servers_.at(n++)->serve_forwarded(names);
                entries.push_back({names.server, names.service,
                                   where.address(shard, replica, advertised_port),
                                   "domain-" + std::to_string(replica % domains), slots, names.started_ms});
            }
        }
        registration_.emplace(clock_, platform);
        registration_->start(std::move(entries));
    }

    /** Marks the servers as draining, and calls the function once every node has had time to notice. */
    void drain(std::function<void()> ended) {
        if (registration_)
            registration_->drain();
        clock_.timers().schedule_after(drain_time, std::move(ended));
    }

private:
    static void on_control(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query,
                           gpointer self) {
        auto* it = static_cast<standin_upstreams*>(self);
        it->clock_.sync();
        unsigned status = SOUP_STATUS_OK;
        if (std::string{path} == "/set" && query != nullptr && !it->set(query))
            status = SOUP_STATUS_BAD_REQUEST;
        const std::string body = it->counts_json();
        soup_server_message_set_status(message, status, nullptr);
        soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(),
                                         body.size());
    }

    /** Applies each given change to the selected servers: all, or those that match the given address, shard
     * and replica. */
    bool set(GHashTable* query) {
        if (query_number(query, "remove_entries") && registration_) {
            registration_->remove();
            return true;
        }
        const char* server = static_cast<const char*>(g_hash_table_lookup(query, "server"));
        const char* shard = static_cast<const char*>(g_hash_table_lookup(query, "shard"));
        const auto replica = query_number(query, "replica");
        for (const auto& it : servers_) {
            if (server != nullptr && it->address() != server)
                continue;
            if (shard != nullptr && std::to_string(it->shard()) != shard)
                continue;
            if (replica && it->address().find("." + std::to_string(*replica + 1) + ":") == std::string::npos)
                continue;
            GHashTableIter position;
            gpointer key = nullptr;
            gpointer value = nullptr;
            g_hash_table_iter_init(&position, query);
            while (g_hash_table_iter_next(&position, &key, &value) != FALSE) {
                if (!change(*it, static_cast<const char*>(key), static_cast<const char*>(value)))
                    return false;
            }
        }
        return true;
    }

    static bool change(upstream_server& it, const std::string& name, const std::string& value) {
        upstream_behaviour& behaviour = it.behaviour();
        const auto n = parse_natural(value.c_str()).value_or(0);
        const auto count = static_cast<std::uint32_t>(n);
        const std::map<std::string, std::uint32_t*> counts{
            {"slots", &behaviour.slots},
            {"queue", &behaviour.queue},
            {"connections", &behaviour.connections},
            {"connect_ms", &behaviour.connect_ms},
            {"service_us", &behaviour.service_us},
            {"straggle_per_mille", &behaviour.straggle_per_mille},
            {"straggle_ms", &behaviour.straggle_ms},
            {"cold_ms", &behaviour.cold_ms},
            {"body_bytes", &behaviour.body_bytes},
            {"pause_ms", &behaviour.pause_ms}};
        const std::map<std::string, bool*> switches{{"frozen", &behaviour.frozen},
                                                    {"draining", &behaviour.draining},
                                                    {"shedding", &behaviour.shedding},
                                                    {"drop_after_run", &behaviour.drop_after_run},
                                                    {"truncate", &behaviour.truncate},
                                                    {"wrong_request", &behaviour.wrong_request},
                                                    {"wrong_version", &behaviour.wrong_version},
                                                    {"cut_head", &behaviour.cut_head},
                                                    {"states_leaving", &behaviour.states_leaving}};
        if (const auto found = counts.find(name); found != counts.end()) {
            *found->second = count;
        } else if (const auto flag = switches.find(name); flag != switches.end()) {
            *flag->second = n != 0;
        } else if (name == "broken") {
            constexpr auto kinds = static_cast<std::uint64_t>(broken_reply::count);
            behaviour.broken = n < kinds ? static_cast<broken_reply>(n) : broken_reply::none;
        } else if (name == "versions") {
            behaviour.versions.clear();
            std::istringstream in{value};
            for (std::string version; std::getline(in, version, ',');)
                behaviour.versions.insert(parse_natural(version.c_str()).value_or(0));
        } else if (name == "silence") {
            it.silence_open_connections();
        } else if (name == "stop") {
            it.stop();
        } else if (name == "start") {
            return it.start();
        } else {
            return name == "server" || name == "shard" || name == "replica";
        }
        return true;
    }

    std::string counts_json() {
        json_writer out;
        out.begin_object();
        out.member("started", counts_.started).member("finished", counts_.finished);
        out.member("cancelled_waiting", counts_.cancelled_waiting);
        out.member("cancelled_running", counts_.cancelled_running).member("shed", counts_.shed);
        out.member("connections_refused", counts_.connections_refused);
        out.member("most_connections", counts_.most_connections).name("orders").begin_object();
        for (const auto& [key, n] : counts_.orders)
            out.member(key.c_str(), n);
        return out.end_object().end_object().take() + "\n";
    }

    loop_clock& clock_;                                     ///< the process's clock
    std::function<std::uint64_t()> random_;                 ///< random number generator
    upstream_counts counts_;                                ///< counters of all servers
    std::vector<std::unique_ptr<upstream_server>> servers_; ///< all servers
    gobject_ptr<SoupServer> control_;                       ///< serves the control page
    std::optional<registration> registration_;              ///< entries in the platform's store, if any
};

/** Drains the servers on SIGTERM, then ends the main loop. */
struct stop_signal {
    standin_upstreams& upstreams;
    GMainLoop* loop;

    static gboolean on_signal(gpointer self) {
        auto* it = static_cast<stop_signal*>(self);
        it->upstreams.drain([loop = it->loop] { g_main_loop_quit(loop); });
        return G_SOURCE_REMOVE;
    }
};

int run(int argc, char** argv) {
    cxxopts::Options options{"standin_upstreams",
                             "Stand-in servers of one service, at 127.NET.SHARD.REPLICA."};
    options.add_options()("service", "service",
                          cxxopts::value<std::string>()->default_value("catalogue-desk"))(
        "net", "second octet of the addresses", cxxopts::value<std::uint32_t>()->default_value("10"))(
        "shards", "shards", cxxopts::value<std::uint32_t>()->default_value("10"))(
        "replicas", "servers per shard", cxxopts::value<std::uint32_t>()->default_value("3"))(
        "port", "port of every server", cxxopts::value<std::uint32_t>()->default_value("9000"))(
        "control", "IPv4:port of the control page",
        cxxopts::value<std::string>()->default_value("127.0.0.1:7100"))(
        "slots", "slots per server", cxxopts::value<std::uint32_t>()->default_value("2"))(
        "connections", "connection limit per server", cxxopts::value<std::uint32_t>()->default_value("25"))(
        "connect-ms", "delay of a new connection", cxxopts::value<std::uint32_t>()->default_value("0"))(
        "service-us", "mean duration of a request", cxxopts::value<std::uint32_t>()->default_value("2000"))(
        "straggle-per-mille", "share of slow requests, in thousandths",
        cxxopts::value<std::uint32_t>()->default_value("0"))(
        "straggle-ms", "duration of a slow request", cxxopts::value<std::uint32_t>()->default_value("0"))(
        "rows", "rows in a reply", cxxopts::value<std::uint32_t>()->default_value("3"))(
        "body-bytes", "size of the bodies of replies to forwarded requests; 0 for a few records",
        cxxopts::value<std::uint32_t>()->default_value("0"))(
        "seed", "random seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "first-replica", "first replica served by this process",
        cxxopts::value<std::uint32_t>()->default_value("0"))(
        "queue", "queue length per server", cxxopts::value<std::uint32_t>()->default_value("16"))(
        "platform", "IPv4:port of the store: serve the users' interface and register there",
        cxxopts::value<std::string>())("advertised-port", "port in the store's entries",
                                       cxxopts::value<std::uint32_t>()->default_value("9000"))(
        "print-shard-map", "print the shard maps of these versions and exit", cxxopts::value<std::string>());
    const auto flags = options.parse(argc, argv);
    const layout where{flags["service"].as<std::string>(),  flags["net"].as<std::uint32_t>(),
                       flags["shards"].as<std::uint32_t>(), flags["replicas"].as<std::uint32_t>(),
                       flags["port"].as<std::uint32_t>(),   flags["first-replica"].as<std::uint32_t>()};
    if (flags.count("print-shard-map") > 0) {
        std::set<std::uint64_t> versions;
        std::istringstream in{flags["print-shard-map"].as<std::string>()};
        for (std::string version; std::getline(in, version, ',');)
            versions.insert(parse_natural(version.c_str()).value_or(0));
        std::cout << where.shard_maps(versions) << "\n";
        return EXIT_SUCCESS;
    }
    upstream_behaviour behaviour;
    behaviour.slots = flags["slots"].as<std::uint32_t>();
    behaviour.queue = flags["queue"].as<std::uint32_t>();
    behaviour.connections = flags["connections"].as<std::uint32_t>();
    behaviour.connect_ms = flags["connect-ms"].as<std::uint32_t>();
    behaviour.service_us = flags["service-us"].as<std::uint32_t>();
    behaviour.straggle_per_mille = flags["straggle-per-mille"].as<std::uint32_t>();
    behaviour.straggle_ms = flags["straggle-ms"].as<std::uint32_t>();
    behaviour.rows = flags["rows"].as<std::uint32_t>();
    behaviour.body_bytes = flags["body-bytes"].as<std::uint32_t>();
    loop_clock clock;
    standin_upstreams upstreams{clock, seeded_random(flags["seed"].as<std::uint64_t>())};
    if (!upstreams.listen(flags["control"].as<std::string>(), where, behaviour)) {
        std::cerr << "standin_upstreams: cannot listen\n";
        return EXIT_FAILURE;
    }
    if (flags.count("platform") > 0)
        upstreams.serve_forwarded(flags["platform"].as<std::string>(), where,
                                  flags["advertised-port"].as<std::uint32_t>(), behaviour.slots);
    const gmain_loop_ptr loop{g_main_loop_new(nullptr, FALSE)};
    stop_signal stop{upstreams, loop.get()};
    g_unix_signal_add(SIGTERM, &stop_signal::on_signal, &stop);
    g_main_loop_run(loop.get());
    return EXIT_SUCCESS;
}

} // namespace

} // namespace pollengrade

int main(int argc, char** argv) {
    return pollengrade::run_program("standin_upstreams", [&] { return pollengrade::run(argc, argv); });
}
