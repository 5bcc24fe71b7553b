/** @file document_frontend.cpp Connects our own interface to the query router. */
#include "daemon/document_frontend.h"

#include <utility>

#include "http/codec.h"
#include "runtime/logging.h"

namespace pollengrade {

namespace {

/** Interval between checks whether all replies are written. */
constexpr duration idle_check_period = std::chrono::milliseconds{20};

} // namespace

document_frontend::document_frontend(const node_settings& settings, socket_poller& poller,
                                     caller_memory& memory, router_parts parts)
    : servers_{parts.servers}, timers_{parts.timers}, address_{settings.callers}, router_{parts},
      callers_{poller,
               timers_,
               memory,
               parts.counts,
               parts.random,
               {[this](caller_request request, answer_hook respond) {
                    return router_.submit(std::move(request), std::move(respond));
                },
                [this](run_id id) { router_.abandon(id); }, [this] { return is_ready(); }}} {}

bool document_frontend::apply(const config_entry& entry) {
    const std::string what = entry.key.name + " version " + std::to_string(entry.version.value());
    switch (entry.key.kind) {
    case config_kind::service_document: {
        auto document = parse_service_document(entry.text);
        if (!document) {
            log_line(subsystem::config, log_level::warning,
                     "document " + what + " rejected: " + pollengrade::describe(document.error().front()));
            return false;
        }
        if (document->name.value() != entry.key.name) {
            log_line(subsystem::config, log_level::warning,
                     "document " + what + " rejected: the document names another service");
            return false;
        }
        router_.apply_document(std::move(*document), entry.version);
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
        return true;
    }
    case config_kind::routes:
        break;
    }
    return false;
}

void document_frontend::on_server(const server_entry& entry, bool removed) {
    // Shard maps identify servers by address. The start time distinguishes successive processes at an
    // address.
    const upstream_id id{entry.address.value()};
    const std::string instance = entry.name + "@" + std::to_string(entry.started_ms);
    if (removed || entry.is_leaving)
        servers_.note_leaving(id, instance, {removed ? leaving_source::removal : leaving_source::entry});
    else
        servers_.note_live(id, instance);
}

run_id document_frontend::run_query(const delegated_request&, std::function<void(delegated_answer)> respond) {
    respond(
        {refused_answer{forward_refusal::not_configured, duration{0}}, object_version{}, duration{0}, true});
    return run_id{};
}

void document_frontend::start_leaving(const stop_schedule& schedule) {
    leaving_ = true;
    callers_.listener().disable_keep_alive();
    router_.stop_by(schedule.last_answer);
    timers_.schedule_at(schedule.last_answer, [this] { callers_.listener().stop_accepting(); });
}

void document_frontend::stop(std::function<void()> done) {
    stopped_ = std::move(done);
    router_.stop([this] { end_when_idle(); });
}

void document_frontend::end_when_idle() {
    callers_.listener().close_idle();
    if (callers_.listener().open_exchanges() == 0) {
        if (stopped_)
            std::exchange(stopped_, nullptr)();
        return;
    }
    timers_.schedule_after(idle_check_period, [this] { end_when_idle(); });
}

void document_frontend::describe(json_writer& out) const {
    out.name("services").begin_array();
    for (const auto& [name, it] : router_.services()) {
        out.begin_object().member("name", name.value()).member("document_version", it.version().value());
        out.member("shard_maps_version", it.snapshots_version().value()).name("index_versions").begin_array();
        for (const auto& [version, map] : it.snapshots())
            out.value(version.value());
        out.end_array().end_object();
    }
    out.end_array();
}

} // namespace pollengrade
