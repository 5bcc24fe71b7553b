/** @file result_checks_test.cpp A run without violations passes the soak's checks, and each violation is
 * reported. */
#include "result_checks.h"

#include <algorithm>
#include <csignal>

#include <doctest/doctest.h>

#include "part_func.h"
#include "routes_text.h"

using namespace pollengrade;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned ok = 200;

/** Results of a run without violations, to be modified by each test. */
struct passing_run {
    std::vector<request_record> records;
    std::vector<route_version> versions{{1, {0, 1, 2, 3}, at(0), at(1)}};
    std::vector<disturbance> disturbances;
    std::vector<disturbance> server_disturbances;
    runs_by_request runs;
    std::vector<int> exit_codes{0, 128 + SIGKILL};
    std::uint32_t overdue_stops = 0;
    std::size_t highest_memory = 0;
    departure_records departures;
    std::uint32_t net = 20;

    static time_point at(std::int64_t ms) { return time_point{} + seconds{100} + milliseconds{ms}; }

    passing_run() {
        constexpr std::int64_t gap_ms = 20;
        constexpr std::size_t count = 240;
        // The last fault ended long before, so the recovery check applies to all of these requests.
        for (std::size_t n = 0; n < count; ++n)
            add(static_cast<route_kind>(n % 4), at(4000 + gap_ms * static_cast<std::int64_t>(n)));
    }

    request_record& add(route_kind kind, time_point sent) {
        request_record it;
        it.id = "q" + std::to_string(records.size());
        it.kind = kind;
        it.version = versions.back().number;
        it.sent = sent;
        it.ended = sent + milliseconds{10};
        it.outcome = soak_outcome::replied;
        it.status = ok;
        records.push_back(it);
        answer(records.back(), kind == route_kind::gather  ? versions.back().shards
                               : kind == route_kind::order ? std::vector<std::uint32_t>{order_service}
                                                           : std::vector<std::uint32_t>{lookup_service});
        return records.back();
    }

    void run(const request_record& it, std::uint32_t service, const std::string& server) {
        server_run one;
        one.at_ms = (it.sent - time_point{}) / milliseconds{1};
        one.service = service_text(service);
        one.server = server;
        one.method = it.kind == route_kind::order ? "POST" : "GET";
        one.path = path_of(it.kind, it.version) + it.id;
        one.from = "127.20.250." + std::to_string(it.node + 1);
        runs.emplace(it.id, one);
    }

    void answer(request_record& it, const std::vector<std::uint32_t>& services) {
        std::vector<std::string> records_of_all;
        it.signatures.clear();
        it.body.clear();
        for (const std::uint32_t service : services) {
            const std::string name = service_text(service);
            run(it, service, name + "-a");
            it.signatures.push_back(signature_of(it.id, name, name + "-a"));
            const std::string part = part_of(it.id, name);
            if (it.kind != route_kind::gather) {
                it.body = part;
                continue;
            }
            constexpr std::size_t size = 16;
            for (std::size_t n = 0; n + size <= part.size(); n += size)
                records_of_all.push_back(part.substr(n, size));
        }
        std::sort(records_of_all.rbegin(), records_of_all.rend());
        for (std::size_t n = 0; n < std::min(max_records, records_of_all.size()); ++n)
            it.body += records_of_all[n];
    }

    request_record& first(route_kind kind) {
        return *std::find_if(records.begin(), records.end(),
                             [kind](const request_record& it) { return it.kind == kind; });
    }

    [[nodiscard]] std::vector<std::string> failed_checks() const {
        soak_results all;
        all.records = records;
        all.versions = versions;
        all.disturbances = disturbances;
        all.server_disturbances = server_disturbances;
        all.runs = runs;
        all.node_exit_codes = exit_codes;
        all.overdue_stops = overdue_stops;
        all.highest_memory = highest_memory;
        all.departures = departures;
        all.net = net;
        all.last_fault = at(0) - max_recovery_time;
        std::vector<std::string> names;
        for (const violation& it : check_results(all))
            names.push_back(it.check);
        return names;
    }
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE("a run without violations passes all checks") {
    CHECK(passing_run{}.failed_checks() == names{});
}

TEST_CASE("an execution without a request, or at a service outside its route, is reported") {
    passing_run unknown;
    request_record unknown_request = unknown.records[0];
    unknown_request.id = "never-sent";
    unknown.run(unknown_request, 0, "desk-0-a");
    CHECK(unknown.failed_checks() == names{"unasked"});
    passing_run elsewhere;
    elsewhere.run(elsewhere.first(route_kind::lookup), order_service, "desk-7-a");
    CHECK(elsewhere.failed_checks() == names{"route"});
}

TEST_CASE("an order that ran twice and a refused order that ran are reported") {
    passing_run twice;
    twice.run(twice.first(route_kind::order), order_service, "desk-7-b");
    CHECK(twice.failed_checks() == names{"at most once"});
    passing_run refused;
    refused.first(route_kind::order).status = 503;
    CHECK(refused.failed_checks() == names{"true refusal"});
    passing_run unknown; // An order that failed with 502 may have run.
    unknown.first(route_kind::order).status = 502;
    CHECK(unknown.failed_checks() == names{});
}

TEST_CASE("bytes that are no reply, and a status that HTTP does not define, are reported") {
    passing_run unreadable;
    unreadable.first(route_kind::lookup).outcome = soak_outcome::broken;
    CHECK(unreadable.failed_checks() == names{"no broken answer"});
    for (const unsigned status : {0U, 99U, 101U, 600U}) {
        passing_run undefined;
        undefined.first(route_kind::lookup).status = status;
        CHECK(undefined.failed_checks() == names{"no broken answer"});
    }
}

TEST_CASE("a reply that is another request's, unsigned, truncated or incomplete is reported") {
    passing_run other;
    other.first(route_kind::lookup).body = part_of("other", service_text(lookup_service));
    CHECK(other.failed_checks() == names{"whole answer"});
    passing_run unsigned_reply;
    unsigned_reply.first(route_kind::order).signatures.clear();
    CHECK(unsigned_reply.failed_checks() == names{"whole answer"});
    passing_run cut;
    cut.first(route_kind::gather).body.pop_back();
    CHECK(cut.failed_checks() == names{"whole gather"});
    passing_run unreported; // A part is left out but not reported as missing.
    unreported.first(route_kind::gather).signatures.pop_back();
    CHECK(unreported.failed_checks() == names{"whole gather", "version in force"});
    passing_run poor; // Two of four shards are below min_shard_ratio.
    request_record& it = poor.first(route_kind::gather);
    poor.runs.erase(it.id);
    poor.answer(it, {0, 1});
    it.missing = 2;
    CHECK(poor.failed_checks() == names{"whole gather"});
    passing_run partial; // Three of four shards are enough if the fourth is reported as missing.
    request_record& enough = partial.first(route_kind::gather);
    partial.runs.erase(enough.id);
    partial.answer(enough, {0, 1, 2});
    enough.missing = 1;
    CHECK(partial.failed_checks() == names{});
}

TEST_CASE("requests sent to more servers than their route allows are reported") {
    passing_run it;
    constexpr std::size_t over = 4;
    for (std::size_t n = 0; n < over; ++n) {
        const request_record& one = it.records[4 * n];
        it.run(one, 0, "desk-0-b");
        it.run(one, 0, "desk-0-c");
    }
    CHECK(it.failed_checks() == names{"tries"});
}

TEST_CASE("repeated requests over the retry budget are reported") {
    passing_run it;
    for (const request_record& one : it.records) {
        if (one.kind == route_kind::gather)
            it.run(one, 0, "desk-0-b");
    }
    // 60 repeats of 60 requests; 0.2 x 60 + 40 are allowed.
    CHECK(it.failed_checks() == names{"budget"});
}

TEST_CASE("a late reply is reported, except at a disturbed node") {
    passing_run late;
    request_record& it = late.first(route_kind::lookup);
    it.ended = it.sent + single_timeout + reply_slack + milliseconds{1};
    CHECK(late.failed_checks() == names{"in time"});
    late.disturbances.push_back({it.node, it.sent, it.sent + seconds{1}, false});
    CHECK(late.failed_checks() == names{});
}

TEST_CASE("a version that is not in force in time and a version that is lost later are reported") {
    passing_run late;
    late.versions.push_back({2, {0, 1}, passing_run::at(100), passing_run::at(110)});
    // Gather requests still use the old shards more than three seconds later.
    const names broken = late.failed_checks();
    CHECK(std::count(broken.begin(), broken.end(), "version in force") > 0);
    passing_run unknown;
    request_record& it = unknown.first(route_kind::versioned);
    it.status = 404;
    CHECK(unknown.failed_checks() == names{"version in force"});
    passing_run lost; // In force once, but gone two seconds later, before the limit of three seconds.
    lost.versions.push_back({2, {0, 1, 2, 3}, passing_run::at(8000), passing_run::at(8010)});
    lost.add(route_kind::versioned, passing_run::at(8020));
    request_record& gone = lost.add(route_kind::versioned, passing_run::at(10500));
    gone.status = 404;
    lost.runs.erase(gone.id);
    CHECK(lost.failed_checks() == names{"no way back"});
}

TEST_CASE("a request lost during a planned stop is reported") {
    passing_run it;
    request_record& cut = it.first(route_kind::lookup);
    cut.outcome = soak_outcome::lost;
    CHECK(it.failed_checks() == names{});
    it.disturbances.push_back({cut.node, cut.sent - milliseconds{1}, cut.ended, true});
    CHECK(it.failed_checks() == names{"nothing lost by a stop"});
}

TEST_CASE("a node that took more memory than it may is reported") {
    passing_run full;
    full.highest_memory = node_memory;
    CHECK(full.failed_checks().empty());
    ++full.highest_memory;
    CHECK(full.failed_checks() == names{"memory"});
}

TEST_CASE("a process that crashed or did not stop in time is reported") {
    passing_run crashed;
    crashed.exit_codes.push_back(128 + SIGSEGV);
    CHECK(crashed.failed_checks() == names{"no end of its own"});
    passing_run stuck;
    stuck.overdue_stops = 1;
    CHECK(stuck.failed_checks() == names{"stop in time"});
}

TEST_CASE("nodes that do not recover after the last fault are reported") {
    passing_run it;
    for (request_record& one : it.records) {
        if (one.kind == route_kind::lookup) {
            one.status = 503;
            it.runs.erase(one.id);
        }
    }
    CHECK(it.failed_checks() == names{"recovery"});
}

namespace {

/** The first lookup of a run, in whose answer the server stated that it leaves. */
request_record& leave_by_answer(passing_run& it, const std::string& reader) {
    request_record& record = it.first(route_kind::lookup);
    it.departures.answers.push_back({record.id, "desk-6-a", reader});
    return record;
}

std::size_t count_of(const names& list, const std::string& name) {
    return static_cast<std::size_t>(std::count(list.begin(), list.end(), name));
}

} // namespace

TEST_CASE("a request sent after its node had passed on a server's word that it leaves is reported") {
    passing_run it;
    const request_record& record = leave_by_answer(it, "127.20.250.1");
    const auto late = static_cast<std::size_t>(
        std::count_if(it.records.begin(), it.records.end(), [&](const request_record& one) {
            const bool is_at_server = one.kind == route_kind::lookup || one.kind == route_kind::versioned;
            return is_at_server && one.sent > record.ended + drain_time;
        }));
    REQUIRE(late > 0);
    CHECK(count_of(it.failed_checks(), "leaving by answers") == late);
    // Another node's requests do not count, whoever read the answer.
    for (request_record& one : it.records) {
        if (one.sent > record.ended + drain_time)
            one.node = 1;
    }
    for (auto& [id, run] : it.runs)
        run.from = "127.20.250.2";
    CHECK(count_of(it.failed_checks(), "leaving by answers") == 0);
    leave_by_answer(it, "127.20.250.2");
    CHECK(count_of(it.failed_checks(), "leaving by answers") == late);
    // A node that was frozen or started again need not remember; one that was only cut off must.
    it.disturbances.push_back({1, record.ended + seconds{1}, record.ended + seconds{1}, false, false});
    CHECK(count_of(it.failed_checks(), "leaving by answers") == late);
    it.disturbances.back().ends_process = true;
    CHECK(count_of(it.failed_checks(), "leaving by answers") == 0);
}

TEST_CASE("a request that reaches a server long after the store acknowledged that it leaves is reported") {
    passing_run it;
    const std::int64_t left_at = (it.first(route_kind::lookup).sent - time_point{}) / milliseconds{1};
    it.departures.acknowledged.push_back({left_at, "desk-6-a"});
    CHECK(count_of(it.failed_checks(), "leaving by the store") > 0);
    // Only while the store is undisturbed.
    it.disturbances.push_back({all_nodes, passing_run::at(4000), passing_run::at(4001), false});
    CHECK(count_of(it.failed_checks(), "leaving by the store") == 0);
}
