/** @file routes_text.cpp Builds the routes object. */
#include "routes_text.h"

#include "json/json_view.h"

namespace pollengrade {

namespace {

void write_route(json_writer& out, route_kind kind, std::uint64_t version) {
    namespace wire = wire_names;
    const std::string prefix = path_of(kind, version);
    const auto timeout = kind == route_kind::gather ? gather_timeout : single_timeout;
    out.begin_object().member(wire::name, prefix.substr(1, prefix.size() - 2));
    out.member(wire::host, routes_host).member(wire::prefix, prefix);
    out.member(wire::kind, kind == route_kind::order ? wire::unsafe : wire::safe);
    out.member(wire::timeout_ms, to_milliseconds(timeout));
    out.member(wire::target_ms, to_milliseconds(gather_target)).member(wire::priority, std::uint64_t{1});
    out.member(wire::max_attempts, max_server_attempts);
}

} // namespace

std::string routes_object(const route_version& version, std::uint64_t revision,
                          std::uint32_t max_connections) {
    namespace wire = wire_names;
    json_writer out;
    out.begin_object().name(wire::meta).begin_object().member(wire::name, wire::routes_name);
    if (revision != 0)
        out.member(wire::revision, revision);
    out.end_object().name(wire::spec).begin_object().member(wire::version, version.number);
    out.name(wire::routes).begin_array();
    write_route(out, route_kind::gather, version.number);
    out.name(wire::gather).begin_array();
    for (const std::uint32_t shard : version.shards)
        out.value(service_text(shard));
    out.end_array().member(wire::max_records, std::uint64_t{max_records});
    out.name(wire::min_shard_ratio).raw("0.75").end_object();
    write_route(out, route_kind::lookup, version.number);
    out.member(wire::service, service_text(lookup_service)).end_object();
    write_route(out, route_kind::order, version.number);
    out.member(wire::service, service_text(order_service)).end_object();
    write_route(out, route_kind::versioned, version.number);
    out.member(wire::service, service_text(versioned_service)).end_object();
    out.end_array().name(wire::services).begin_array();
    for (std::uint32_t n = 0; n < service_count; ++n) {
        out.begin_object().member(wire::name, service_text(n));
        out.member(wire::max_connections, max_connections).end_object();
    }
    out.end_array().name(wire::limits).begin_object();
    out.member(wire::header_bytes, std::uint64_t{16384}).member(wire::body_bytes, std::uint64_t{262144});
    out.member(wire::header_timeout_ms, std::uint64_t{3000});
    out.member(wire::idle_timeout_ms, std::uint64_t{15000});
    return out.end_object().end_object().end_object().take();
}

} // namespace pollengrade
