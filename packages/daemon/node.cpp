/** @file node.cpp How a node's parts are joined. */
#include "daemon/node.h"

#include <utility>

#include "http/codec.h"
#include "http/json_view.h"
#include "runtime/logging.h"

namespace pollengrade {

namespace {

constexpr duration vm_poll_interval = std::chrono::seconds{2}; ///< between two readings of the VM list
constexpr duration balancer_notice = std::chrono::seconds{2};  ///< until the balancer has seen "not ready"

constexpr std::string_view metrics_type =
    "text/plain; version=0.0.4"; ///< of the text form that scrapers read

} // namespace

node::node(node_settings settings, loop_clock& clock, std::function<std::uint64_t()> random)
    : settings_{std::move(settings)}, clock_{clock}, random_{std::move(random)}, log_{wall_now},
      platform_{clock_, log_, counts_, settings_.platform},
      upstreams_{clock_,
                 [this](const upstream_address& address) {
                     const upstream* server = router_.servers().find(address);
                     return server == nullptr ? 1U : server->max_in_flight();
                 },
                 [this](attempt_id id, attempt_result result) {
                     router_.servers().complete(id, std::move(result));
                 }},
      router_{{clock_.timers(),
               log_,
               counts_,
               random_,
               wall_now,
               {[this](attempt_id id, const attempt_request& request) { upstreams_.transmit(id, request); },
                [this](attempt_id id) { upstreams_.abort(id); }},
               platform_.claim_hooks(),
               holder_count{1}}},
      store_{[this](const config_entry& entry) { return apply(entry); }},
      cluster_{settings_,
               clock_,
               log_,
               counts_,
               platform_,
               store_,
               random_,
               {[this] { on_configured(); },
                [this](std::uint32_t live) { router_.set_holders(holder_count{live}); }}},
      callers_{clock_,
               random_,
               {[this](caller_request request, answer_hook respond) {
                    return router_.submit(std::move(request), std::move(respond));
                },
                [this](run_id id) { router_.abandon(id); }, [this] { return is_ready(); }}},
      operators_{
          {{"/metrics", {std::string{metrics_type}, [this] { return counts_.render(); }}},
           {"/status", {"application/json", [this] { return status() + "\n"; }}},
           {"/timeline", {"application/json", [this] { return encode_events(settings_.name, log_) + "\n"; }}},
           {"/healthz", {"application/json", [] { return std::string{"{\"healthy\":true}\n"}; }}}}} {}

tl::expected<void, listen_error> node::start() {
    log_.record(event_kind::node_started, {}, settings_.name);
    if (const auto started = operators_.listen(settings_.operators); !started)
        return started;
    if (const auto started = callers_.listen(settings_.callers); !started)
        return started;
    if (const auto started = cluster_.start(); !started)
        return started;
    poll_vms();
    return {};
}

void node::on_configured() {
    if (!router_.is_ready() && !leaving_)
        log_line(subsystem::node, log_level::info, "ready");
    router_.set_ready();
}

bool node::apply(const config_entry& entry) {
    const std::string what = entry.key.name + " version " + std::to_string(entry.version.value());
    switch (entry.key.kind) {
    case config_kind::service_document: {
        auto document = parse_service_document(entry.text);
        if (!document) {
            log_line(subsystem::config, log_level::warning,
                     "document " + what + " rejected: " + describe(document.error().front()));
            return false;
        }
        if (document->name.value() != entry.key.name) {
            log_line(subsystem::config, log_level::warning,
                     "document " + what + " rejected: it names another service");
            return false;
        }
        router_.apply_document(std::move(*document), entry.version);
        log_line(subsystem::config, log_level::info, "document " + what + " in force");
        return true;
    }
    case config_kind::shard_maps: {
        auto maps = decode_shard_maps(entry.text);
        if (!maps) {
            log_line(subsystem::config, log_level::warning,
                     "shard maps " + what + " rejected: " + std::string{to_string(maps.error())});
            return false;
        }
        router_.apply_snapshots(service_name{entry.key.name}, std::move(*maps), entry.version);
        log_line(subsystem::config, log_level::info, "shard maps " + what + " in force");
        return true;
    }
    }
    return false;
}

void node::poll_vms() {
    platform_.vms([this](const auto& result) {
        if (result) {
            for (const vm_record& it : *result) {
                const upstream_address address{it.address};
                if (router_.servers().find(address) == nullptr)
                    continue;
                if (it.leaving)
                    router_.servers().note_draining(address, it.incarnation);
                else
                    router_.servers().note_live(address, it.incarnation);
            }
        }
        clock_.timers().schedule_after(vm_poll_interval, [this] { poll_vms(); });
    });
}

void node::stop(std::function<void()> done) {
    if (std::exchange(leaving_, true))
        return;
    stopped_ = std::move(done);
    log_line(subsystem::node, log_level::info, "stopping: not ready any more, still serving");
    cluster_.leave();
    clock_.timers().schedule_after(balancer_notice, [this] {
        router_.stop([this] {
            callers_.set_idle_hook([this] { end_when_idle(); });
            end_when_idle();
        });
    });
}

void node::end_when_idle() {
    if (callers_.open_exchanges() > 0 || !stopped_)
        return;
    log_line(subsystem::node, log_level::info, "stopped");
    std::exchange(stopped_, nullptr)();
}

std::string node::status() const {
    json_writer out;
    out.begin_object();
    out.member("node", settings_.name).member("failure_domain", settings_.domain.value());
    out.member("callers", settings_.callers.value()).member("operators", settings_.operators.value());
    out.member("ready", is_ready())
        .member("leaving", leaving_)
        .member("running", std::uint64_t{router_.running()});
    out.member("relay", cluster_.is_relay())
        .member("in_touch", cluster_.nodes().is_in_touch())
        .name("nodes")
        .begin_array();
    for (const member& it : cluster_.nodes().all()) {
        out.begin_object().member("name", it.name).member("address", it.address.value());
        out.member("operators", it.operators.value()).member("failure_domain", it.domain.value());
        out.member("state", to_string(it.state)).end_object();
    }
    out.end_array().name("services").begin_array();
    for (const auto& [name, it] : router_.services()) {
        out.begin_object().member("name", name.value()).member("document_version", it.version().value());
        out.member("shard_maps_version", it.snapshots_version().value()).name("index_versions").begin_array();
        for (const auto& [version, map] : it.snapshots())
            out.value(version.value());
        out.end_array().end_object();
    }
    out.end_array().name("upstreams").begin_array();
    for (const auto& [address, it] : router_.servers().upstreams()) {
        out.begin_object().member("address", address.value()).member("draining", it.is_draining());
        out.member("usable", it.is_usable(clock_.timers().now())).member("in_flight", it.in_flight());
        out.end_object();
    }
    return out.end_array().end_object().take();
}

} // namespace pollengrade
