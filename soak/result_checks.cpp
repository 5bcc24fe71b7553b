/** @file result_checks.cpp One function per group of guarantees. */
#include "result_checks.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#include <utility>

#include "core/base/message_type.h"
#include "departure_checks.h"
#include "part_func.h"
#include "routes_text.h"

namespace pollengrade {

namespace {

constexpr unsigned ok = 200;
constexpr unsigned not_found = 404;
constexpr std::size_t record_size = 16; ///< bytes per record in the reply to a gather request

using violations = std::vector<violation>;

bool guarantees_not_executed(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string describe(const request_record& it) {
    return it.id + " at node " + std::to_string(it.node + 1) + " on " + path_of(it.kind, it.version) +
           ": status " + std::to_string(it.status) + " after " +
           std::to_string(to_milliseconds(it.ended - it.sent)) + " ms";
}

/** @return whether a node was disturbed in a time interval; planned disturbances count only with @p planned.
 */
bool is_disturbed(const soak_results& all, std::uint32_t node, time_point from, time_point to, bool planned) {
    return std::any_of(all.disturbances.begin(), all.disturbances.end(), [&](const disturbance& it) {
        return (it.node == node || it.node == all_nodes) && (planned || !it.is_planned) && it.from <= to &&
               it.to >= from;
    });
}

bool servers_disturbed(const soak_results& all, time_point from, time_point to) {
    return std::any_of(all.server_disturbances.begin(), all.server_disturbances.end(),
                       [&](const disturbance& it) { return it.from <= to && it.to >= from; });
}

/** @return whether a service may run a request, under any version of the routes. */
bool is_allowed_service(const soak_results& all, const request_record& it, const std::string& service) {
    if (it.kind != route_kind::gather)
        return service == service_text(it.kind == route_kind::order ? order_service : lookup_service);
    return std::any_of(all.versions.begin(), all.versions.end(), [&](const route_version& version) {
        return std::any_of(version.shards.begin(), version.shards.end(),
                           [&](std::uint32_t shard) { return service_text(shard) == service; });
    });
}

void check_runs(const soak_results& all, violations& out) {
    std::map<std::string, const request_record*> by_id;
    for (const request_record& it : all.records)
        by_id[it.id] = &it;
    for (const auto& [id, run] : all.runs) {
        const auto found = by_id.find(id);
        const bool is_known = found != by_id.end() &&
                              run.path == path_of(found->second->kind, found->second->version) + id &&
                              run.method == (found->second->kind == route_kind::order ? "POST" : "GET");
        if (!is_known)
            out.push_back({"unasked", id + " ran as " + run.method + " " + run.path});
        else if (!is_allowed_service(all, *found->second, run.service))
            out.push_back({"route", describe(*found->second) + " ran at " + run.service});
    }
}

void check_orders(const soak_results& all, violations& out) {
    for (const request_record& it : all.records) {
        if (it.kind != route_kind::order)
            continue;
        const auto runs = all.runs.count(it.id);
        if (runs > 1)
            out.push_back({"at most once", describe(it) + ", ran " + std::to_string(runs) + " times"});
        if (runs > 0 && guarantees_not_executed(it.status))
            out.push_back({"true refusal", describe(it) + ", ran"});
    }
}

/** @return the service's name in a signature; empty if the signature belongs to another request. */
std::string service_from_signature(const request_record& it, const std::string& signature) {
    if (!signature.starts_with(it.id + "."))
        return {};
    const std::string rest = signature.substr(it.id.size() + 1);
    return rest.substr(0, rest.find('.'));
}

/** @return the expected reply to a gather request: the greatest records of all included services. */
std::string merged_records(const request_record& it, const std::set<std::string>& services) {
    std::vector<std::string> records;
    for (const std::string& service : services) {
        const std::string part = part_of(it.id, service);
        for (std::size_t n = 0; n + record_size <= part.size(); n += record_size)
            records.push_back(part.substr(n, record_size));
    }
    std::sort(records.begin(), records.end(), std::greater<>{});
    records.resize(std::min(records.size(), max_records));
    std::string body;
    for (const std::string& record : records)
        body += record;
    return body;
}

bool matches_shards_of(const route_version& version, const std::set<std::string>& included,
                       std::size_t missing) {
    std::set<std::string> shards;
    for (const std::uint32_t it : version.shards)
        shards.insert(service_text(it));
    return included.size() + missing == shards.size() &&
           std::includes(shards.begin(), shards.end(), included.begin(), included.end());
}

std::set<std::string> services_of(const request_record& it) {
    std::set<std::string> included;
    for (const std::string& signature : it.signatures)
        included.insert(service_from_signature(it, signature));
    return included;
}

void check_answers(const soak_results& all, violations& out) {
    for (const request_record& it : all.records) {
        const bool is_broken = it.outcome == soak_outcome::broken ||
                               (it.outcome == soak_outcome::replied && !is_final_status(it.status));
        if (is_broken)
            out.push_back({"no broken answer", describe(it)});
        if (it.outcome != soak_outcome::replied || it.status != ok)
            continue;
        const std::set<std::string> services = services_of(it);
        const bool has_valid_signatures =
            !services.empty() && !services.contains("") && services.size() == it.signatures.size();
        if (it.kind != route_kind::gather) {
            const bool is_complete =
                has_valid_signatures && services.size() == 1 && it.body == part_of(it.id, *services.begin());
            if (!is_complete)
                out.push_back({"whole answer", describe(it)});
            continue;
        }
        const auto version = std::find_if(all.versions.begin(), all.versions.end(), [&](const auto& one) {
            return one.sent <= it.ended && matches_shards_of(one, services, it.missing);
        });
        const auto included = static_cast<double>(services.size());
        const bool has_min_ratio = included >= min_shard_ratio * (included + static_cast<double>(it.missing));
        if (!has_valid_signatures || version == all.versions.end() || !has_min_ratio ||
            it.body != merged_records(it, services))
            out.push_back({"whole gather", describe(it) + ", " + std::to_string(services.size()) +
                                               " parts, " + std::to_string(it.missing) + " missing"});
    }
}

void check_server_attempts(const soak_results& all, violations& out) {
    constexpr std::size_t allowed = 3; ///< requests over the limit, because attempts at servers that have
                                       ///< ended meanwhile cannot be distinguished
    std::map<std::pair<std::string, std::string>, std::set<std::string>> servers;
    for (const auto& [id, run] : all.runs)
        servers[{id, run.service}].insert(run.server);
    std::vector<std::string> over;
    for (const auto& [key, tried] : servers) {
        if (tried.size() > max_server_attempts)
            over.push_back(key.first + " at " + std::to_string(tried.size()) + " servers of " + key.second);
    }
    if (over.size() > allowed)
        out.push_back({"tries", std::to_string(over.size()) + " requests, the first " + over.front()});
}

void check_budget(const soak_results& all, violations& out) {
    std::map<std::string, std::vector<std::int64_t>> needed;
    std::map<std::string, std::vector<std::int64_t>> extra;
    std::map<std::pair<std::string, std::string>, std::int64_t> first;
    std::vector<std::pair<std::int64_t, std::pair<std::string, std::string>>> in_order;
    for (const auto& [id, run] : all.runs)
        in_order.push_back({run.at_ms, {id, run.service}});
    std::sort(in_order.begin(), in_order.end());
    for (const auto& [at, key] : in_order)
        (first.emplace(key, at).second ? needed : extra)[key.second].push_back(at);
    const std::int64_t window = to_milliseconds(budget_window);
    for (const auto& [service, times] : extra) {
        const auto& base = needed[service];
        const auto count = [&](const std::vector<std::int64_t>& list, std::int64_t from) {
            return std::lower_bound(list.begin(), list.end(), from + window) -
                   std::lower_bound(list.begin(), list.end(), from);
        };
        for (const std::int64_t from : times) {
            // Uses the largest count of this window, the previous one and the one that starts half a window
            // earlier.
            const auto most =
                std::max({count(base, from), count(base, from - window), count(base, from - window / 2)});
            const double bound = budget_ratio * static_cast<double>(most) + budget_slack;
            if (static_cast<double>(count(times, from)) > bound) {
                out.push_back({"budget", service + ": " + std::to_string(count(times, from)) +
                                             " repeats in 10 s for " + std::to_string(most) + " requests"});
                break;
            }
        }
    }
}

void check_deadlines(const soak_results& all, violations& out) {
    for (const request_record& it : all.records) {
        const duration timeout = it.kind == route_kind::gather ? gather_timeout : single_timeout;
        const time_point limit = it.sent + timeout + reply_slack;
        const bool is_late = it.outcome == soak_outcome::pending || it.ended > limit;
        if (is_late && !is_disturbed(all, it.node, it.sent - undisturbed_time, limit, false))
            out.push_back({"in time", describe(it)});
    }
}

/** @return the newest version that must be in force at a time at every undisturbed node; 0 if none. */
std::uint64_t required_version(const soak_results& all, time_point at) {
    std::uint64_t due = 0;
    for (const route_version& it : all.versions) {
        if (it.acknowledged != time_point{} && it.acknowledged + max_apply_time <= at)
            due = it.number;
    }
    return due;
}

void check_versions(const soak_results& all, violations& out) {
    for (const request_record& it : all.records) {
        if (it.outcome != soak_outcome::replied ||
            is_disturbed(all, it.node, it.sent - undisturbed_time, it.ended, false))
            continue;
        const std::uint64_t due = required_version(all, it.sent);
        if (it.kind == route_kind::versioned && it.status == not_found && it.version <= due) {
            const bool may_be_replaced =
                std::any_of(all.versions.begin(), all.versions.end(), [&](const route_version& one) {
                    return one.number > it.version && one.sent <= it.ended;
                });
            if (!may_be_replaced)
                out.push_back({"version in force", describe(it)});
        }
        if (it.kind == route_kind::gather && it.status == ok) {
            const std::set<std::string> services = services_of(it);
            const bool is_current =
                std::any_of(all.versions.begin(), all.versions.end(), [&](const route_version& one) {
                    return one.number >= due && matches_shards_of(one, services, it.missing);
                });
            if (!is_current)
                out.push_back({"version in force", describe(it) + ", due " + std::to_string(due)});
        }
    }
}

void check_version_regression(const soak_results& all, violations& out) {
    constexpr duration slack = std::chrono::milliseconds{250};
    constexpr int slack_factor = 8; ///< multiple of the slack, to allow for a disturbed node
    std::map<std::uint32_t, const request_record*>
        seen; // Per node, the reply that proves the newest version in force.
    for (const request_record& it : all.records) {
        if (it.kind != route_kind::versioned || it.outcome != soak_outcome::replied)
            continue;
        const request_record*& proof = seen[it.node];
        if (it.status == ok && (proof == nullptr || it.version > proof->version))
            proof = &it;
        if (it.status != not_found || proof == nullptr || it.version > proof->version)
            continue;
        const bool is_newest = std::none_of(all.versions.begin(), all.versions.end(), [&](const auto& one) {
            return one.number > it.version && one.sent <= it.ended;
        });
        // A process that has been restarted since then may start with an older version.
        const bool is_same_process = !is_disturbed(all, it.node, proof->ended - grace, it.ended, true) ||
                                     !is_disturbed(all, it.node, proof->ended, it.ended, true);
        if (is_newest && is_same_process && it.sent > proof->ended + slack_factor * slack)
            out.push_back({"no way back", describe(it) + ", but " + describe(*proof)});
    }
}

void check_graceful_stops(const soak_results& all, violations& out) {
    for (const request_record& it : all.records) {
        const bool was_forwarded = all.runs.contains(it.id);
        if (it.outcome != soak_outcome::lost || !was_forwarded || it.ended > it.sent + gather_timeout)
            continue;
        const bool is_planned = is_disturbed(all, it.node, it.sent, it.ended, true);
        if (is_planned && !is_disturbed(all, it.node, it.sent - undisturbed_time, it.ended, false) &&
            !servers_disturbed(all, it.sent - undisturbed_time, it.ended))
            out.push_back({"nothing lost by a stop", describe(it)});
    }
}

void check_exits(const soak_results& all, violations& out) {
    for (const int code : all.node_exit_codes) {
        constexpr int signal_offset = 128; // Exit code offset used by shells for a death by signal.
        if (code != 0 && code != signal_offset + SIGKILL)
            out.push_back({"no end of its own", "a node exited with code " + std::to_string(code)});
    }
    if (all.highest_memory > node_memory)
        out.push_back({"memory", "a node took " + std::to_string(all.highest_memory) + " bytes"});
    if (all.overdue_stops > 0)
        out.push_back({"stop in time", std::to_string(all.overdue_stops) +
                                           " nodes were still running after the grace period"});
}

void check_recovery(const soak_results& all, violations& out) {
    constexpr double min_served_ratio = 0.9;
    constexpr std::size_t min_sent = 50;
    for (const route_kind kind : {route_kind::gather, route_kind::lookup, route_kind::order}) {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const request_record& it : all.records) {
            if (it.kind != kind || it.sent < all.last_fault + max_recovery_time)
                continue;
            ++sent;
            served += it.outcome == soak_outcome::replied && it.status == ok ? 1 : 0;
        }
        if (sent < min_sent || static_cast<double>(served) < min_served_ratio * static_cast<double>(sent))
            out.push_back({"recovery", path_of(kind, 0) + ": " + std::to_string(served) + " of " +
                                           std::to_string(sent) + " served"});
    }
}

} // namespace

runs_by_request read_runs(const std::string& directory, std::uint32_t replicas) {
    runs_by_request runs;
    for (std::uint32_t n = 0; n < replicas; ++n) {
        std::ifstream in{directory + "/servers-" + std::to_string(n) + ".log"};
        for (std::string line; std::getline(in, line);) {
            std::istringstream fields{line};
            std::string word;
            std::string id;
            server_run it;
            if (fields >> word >> it.at_ms >> id >> it.service >> it.server >> it.method >> it.path >>
                    it.from &&
                word == "run")
                runs.emplace(std::move(id), std::move(it));
        }
    }
    return runs;
}

std::vector<int> read_exit_codes(const std::string& directory, std::uint32_t nodes) {
    std::vector<int> codes;
    for (std::uint32_t n = 1; n <= nodes; ++n) {
        std::ifstream in{directory + "/node-" + std::to_string(n) + ".exits"};
        for (int code = 0; in >> code;)
            codes.push_back(code);
    }
    return codes;
}

std::vector<violation> check_results(const soak_results& it) {
    violations out;
    check_runs(it, out);
    check_orders(it, out);
    check_answers(it, out);
    check_server_attempts(it, out);
    check_budget(it, out);
    check_deadlines(it, out);
    check_versions(it, out);
    check_version_regression(it, out);
    check_graceful_stops(it, out);
    check_exits(it, out);
    check_recovery(it, out);
    check_departures(it, out);
    return out;
}

} // namespace pollengrade
