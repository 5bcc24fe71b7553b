/** @file departure_checks.cpp One function for each of the two rules. */
#include "departure_checks.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <utility>

namespace pollengrade {

namespace {

using records_by_id = std::map<std::string, const request_record*>;
/** A node and a server. */
using node_and_server = std::pair<std::uint32_t, std::string>;

constexpr unsigned ok = 200;

/** @return the node with an address; nullopt for another address. */
std::optional<std::uint32_t> node_of(const soak_results& all, const std::string& address) {
    soak_config config;
    config.net = all.net;
    constexpr std::uint32_t most_nodes = 250;
    for (std::uint32_t n = 0; n < most_nodes; ++n) {
        if (config.node_address(n).starts_with(address + ":"))
            return n;
    }
    return std::nullopt;
}

bool was_ended_or_frozen(const soak_results& all, std::uint32_t node, time_point from, time_point to) {
    return std::any_of(all.disturbances.begin(), all.disturbances.end(), [&](const disturbance& it) {
        return it.node == node && it.ends_process && it.from <= to && it.to >= from;
    });
}

bool was_disturbed(const soak_results& all, std::uint32_t node, time_point from, time_point to) {
    return std::any_of(all.disturbances.begin(), all.disturbances.end(), [&](const disturbance& it) {
        return (it.node == node || it.node == all_nodes) && it.from <= to && it.to >= from;
    });
}

/** @return when each node first passed on an answer in which a server stated that it leaves. */
std::map<node_and_server, time_point> passed_on(const soak_results& all, const records_by_id& records) {
    std::map<node_and_server, time_point> first;
    for (const leaving_answer& it : all.departures.answers) {
        const auto found = records.find(it.request);
        if (found == records.end())
            continue;
        const request_record& record = *found->second;
        const std::string proof_end = "." + it.server.substr(0, it.server.find('@'));
        const bool has_part =
            std::any_of(record.signatures.begin(), record.signatures.end(),
                        [&](const std::string& proof) { return proof.ends_with(proof_end); });
        if (record.outcome != soak_outcome::replied || record.status != ok || !has_part)
            continue;
        const auto note = [&](std::uint32_t node) {
            const auto [at, is_new] = first.try_emplace({node, it.server}, record.ended);
            if (!is_new)
                at->second = std::min(at->second, record.ended);
        };
        note(record.node);
        if (const auto reader = node_of(all, it.from))
            note(*reader);
    }
    return first;
}

std::string describe(const request_record& record, const server_run& run, std::uint32_t sender) {
    return record.id + " taken by node " + std::to_string(record.node + 1) + ", sent by node " +
           std::to_string(sender + 1) + ", reached " + run.server;
}

void check_by_answers(const soak_results& all, const records_by_id& records, std::vector<violation>& out) {
    const auto first = passed_on(all, records);
    for (const auto& [id, run] : all.runs) {
        const auto found = records.find(id);
        const auto sender = node_of(all, run.from);
        if (found == records.end() || !sender)
            continue;
        const request_record& record = *found->second;
        const auto passed = first.find({*sender, run.server});
        if (passed == first.end() || record.sent <= passed->second + drain_time)
            continue;
        if (was_ended_or_frozen(all, *sender, passed->second, record.sent))
            continue;
        out.push_back(
            {"leaving by answers", describe(record, run, *sender) + " " +
                                       std::to_string(to_milliseconds(record.sent - passed->second)) +
                                       " ms after that node had passed on its statement"});
    }
}

void check_by_store(const soak_results& all, const records_by_id& records, std::vector<violation>& out) {
    std::map<std::string, std::int64_t> left_at;
    for (const acknowledged_departure& it : all.departures.acknowledged)
        left_at.try_emplace(it.server, it.at_ms);
    const auto time_of = [&](std::int64_t unix_ms) {
        return time_point{std::chrono::milliseconds{unix_ms - all.unix_ms_at_zero}};
    };
    for (const auto& [id, run] : all.runs) {
        const auto found = records.find(id);
        const auto left = left_at.find(run.server);
        const auto sender = node_of(all, run.from);
        if (found == records.end() || left == left_at.end() || !sender)
            continue;
        const request_record& record = *found->second;
        const time_point acknowledged = time_of(left->second);
        const time_point reached = time_of(run.at_ms);
        const bool is_late = reached > acknowledged + drain_time;
        if (!is_late || was_disturbed(all, all_nodes, acknowledged - undisturbed_time, reached))
            continue;
        if (was_disturbed(all, record.node, reached - undisturbed_time, reached) ||
            was_disturbed(all, *sender, reached - undisturbed_time, reached))
            continue;
        out.push_back({"leaving by the store", describe(record, run, *sender) + " " +
                                                   std::to_string(run.at_ms - left->second) +
                                                   " ms after the store had acknowledged that it leaves"});
    }
}

} // namespace

departure_records read_departures(const std::string& directory, std::uint32_t replicas) {
    departure_records all;
    for (std::uint32_t n = 0; n < replicas; ++n) {
        std::ifstream in{directory + "/servers-" + std::to_string(n) + ".log"};
        for (std::string line; std::getline(in, line);) {
            std::istringstream fields{line};
            std::string word;
            std::int64_t at_ms = 0;
            leaving_answer answer;
            fields >> word >> at_ms;
            if (word == "leaving" && fields >> answer.request >> answer.server >> answer.from)
                all.answers.push_back(answer);
            else if (word == "left" && fields >> answer.server)
                all.acknowledged.push_back({at_ms, answer.server});
        }
    }
    return all;
}

void check_departures(const soak_results& all, std::vector<violation>& out) {
    records_by_id records;
    for (const request_record& it : all.records)
        records[it.id] = &it;
    check_by_answers(all, records, out);
    check_by_store(all, records, out);
}

} // namespace pollengrade
