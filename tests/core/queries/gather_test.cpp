/** @file gather_test.cpp Searches keep to one snapshot and report their coverage correctly under late, wrong
 * and lost replies. */
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "runtime/random_source.h"
#include "support/fake_claim_store.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

constexpr const char* desk_document = "[service]\nname = desk\n[hedge]\nmin_delay_ms = 20\n";
constexpr const char* tail_document = "[service]\nname = desk\nprefer = tail\nmin_coverage_percent = "
                                      "50\ntail_cut_ms = 100\n[hedge]\nenabled = no\n";
constexpr const char* no_extra_document =
    "[service]\nname = desk\n[extra_load]\npercent = 0\nburst = 0\n[hedge]\nmin_delay_ms = 20\n";

/** A node with four shards of two servers each, and its clock. */
struct fixture {
    explicit fixture(const char* document = desk_document, const std::vector<std::uint64_t>& versions = {7},
                     std::uint64_t seed = 1)
        : node{timers, store.hooks(), seed} {
        node.configure(document, versions, 4, 2);
    }

    void advance(std::int64_t milliseconds) {
        timers.advance_to(timers.now() + std::chrono::milliseconds{milliseconds});
    }

    /** Answers the open requests of all shards but one. */
    void reply_all_but(std::uint32_t shard) {
        for (const sent_request& it : node.open_requests()) {
            if (it.request.shard != shard_id{shard})
                node.reply(it);
        }
    }

    timer_queue timers = paused_clock();
    fake_claim_store store{timers, [] { return call_outcome::answered; }};
    fake_node node;
};

/** @return whether all rows of @p it come from the snapshot of its version. */
bool has_one_snapshot(const answer& it) {
    const std::string wanted = "v" + std::to_string(it.version.value());
    return std::all_of(it.rows.begin(), it.rows.end(),
                       [&](const result_row& row) { return row.text == wanted; });
}

/** @return whether the included shards are exactly the shards whose rows are in the answer. */
bool has_exact_coverage(const answer& it, std::size_t shards) {
    std::set<std::string> rows;
    for (const result_row& row : it.rows)
        rows.insert(row.key);
    std::set<std::string> included;
    for (const shard_id shard : it.included)
        included.insert("row-" + std::to_string(shard.value()));
    return rows == included && it.included.size() + it.missing.size() == shards;
}

} // namespace

TEST_CASE("a complete answer is given as soon as the last shard has replied") {
    fixture it;
    it.node.search();
    it.reply_all_but(2);
    CHECK(it.node.answers().empty());
    it.node.reply(it.node.open_requests(2).front());
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].result == outcome::answered);
    CHECK(has_exact_coverage(it.node.answers()[0], 4));
}

TEST_CASE("a reply with another version or to another request is never merged") {
    fixture it;
    it.node.search();
    it.reply_all_but(2);
    it.node.reply(it.node.open_requests(2).front(),
                  [](shard_reply& reply) { reply.version = index_version{8}; });
    it.node.reply(it.node.open_requests(2).front(),
                  [](shard_reply& reply) { reply.request = request_id{"another"}; });
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].result == outcome::partial);
    CHECK(it.node.answers()[0].missing.size() == 1);
    CHECK(has_one_snapshot(it.node.answers()[0]));
    CHECK(it.node.counts().value("replies_rejected", "wrong_version") == 1);
    CHECK(it.node.counts().value("replies_rejected", "wrong_request") == 1);
}

TEST_CASE("a hedge goes to another server, and the slower attempt is cancelled") {
    fixture it;
    it.node.search();
    it.reply_all_but(2);
    it.advance(25);
    const auto open = it.node.open_requests(2);
    REQUIRE(open.size() == 2);
    CHECK(open[0].to != open[1].to);
    it.node.reply(open[1]);
    CHECK(it.node.open_requests().empty());
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].result == outcome::answered);
}

TEST_CASE("no hedge is sent beyond the budget in the document") {
    fixture it{no_extra_document};
    it.node.search();
    it.reply_all_but(2);
    it.advance(100);
    CHECK(it.node.open_requests(2).size() == 1);
    CHECK(it.node.counts().value("hedges_over_budget") == 1);
}

TEST_CASE("a request refused before it ran is retried on another server without using the budget") {
    fixture it{no_extra_document};
    it.node.search();
    it.reply_all_but(2);
    it.node.fail(it.node.open_requests(2).front(), attempt_error::shed);
    REQUIRE(it.node.open_requests(2).size() == 1);
    it.node.reply(it.node.open_requests(2).front());
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].result == outcome::answered);
}

TEST_CASE("with little budget left a failed shard is asked again only once the other refusals are known") {
    constexpr const char* small_budget =
        "[service]\nname = desk\n[extra_load]\npercent = 0\nburst = 4\n[hedge]\nenabled = no\n";
    fixture it{small_budget};
    it.node.search();
    for (const std::uint32_t shard : {0U, 1U, 2U})
        it.node.fail(it.node.open_requests(shard).front(), attempt_error::connection_lost);
    CHECK(it.node.open_requests().size() == 4);
    it.reply_all_but(4);
    REQUIRE(it.node.answers().size() == 1);
    it.node.search();
    const sent_request first = it.node.open_requests(2).front();
    it.node.fail(first, attempt_error::connection_lost);
    CHECK(it.node.open_requests(2).empty());
    it.reply_all_but(2);
    CHECK(it.node.answers().size() == 1);
    it.advance(5);
    REQUIRE(it.node.open_requests(2).size() == 1);
    CHECK(it.node.open_requests(2).front().to != first.to);
    it.node.reply(it.node.open_requests(2).front());
    REQUIRE(it.node.answers().size() == 2);
    CHECK(it.node.answers()[1].result == outcome::answered);
}

TEST_CASE("a search that every server refused before running it is refused at once") {
    fixture it;
    it.node.search();
    while (!it.node.open_requests().empty())
        it.node.fail(it.node.open_requests().front(), attempt_error::shed);
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].result == outcome::refused);
    CHECK(it.node.answers()[0].scope == refusal_scope::request);
    CHECK(it.node.answers()[0].retry_after.count() > 0);
}

TEST_CASE("a search that a server may have run is never reported as refused") {
    fixture it{no_extra_document};
    it.node.search();
    it.node.fail(it.node.open_requests(0).front(), attempt_error::connection_lost);
    while (!it.node.open_requests().empty())
        it.node.fail(it.node.open_requests().front(), attempt_error::shed);
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].result == outcome::partial);
    CHECK(it.node.answers()[0].included.empty());
}

TEST_CASE("a query whose version is retired is planned again once, without mixing versions") {
    fixture it{desk_document, {6, 7}};
    it.node.search();
    it.reply_all_but(2);
    it.node.fail(it.node.open_requests(2).front(), attempt_error::version_absent);
    it.node.fail(it.node.open_requests(2).front(), attempt_error::version_absent);
    REQUIRE(it.node.answers().empty());
    const auto open = it.node.open_requests();
    REQUIRE(open.size() == 4);
    for (const sent_request& request : open) {
        CHECK(request.request.version == index_version{6});
        it.node.reply(request);
    }
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].version == index_version{6});
    CHECK(it.node.answers()[0].result == outcome::answered);
    CHECK(has_one_snapshot(it.node.answers()[0]));
    CHECK(it.node.answers()[0].rows.size() == 4);
}

TEST_CASE("repartitioning the shards does not change a running query") {
    fixture it;
    it.node.search();
    std::vector<shard_map> maps{{index_version{8}, {{shard_id{0}, {upstream_address{"127.9.9.1:9000"}}}}}};
    it.node.router().apply_snapshots(service_name{"desk"}, std::move(maps), object_version{2});
    it.reply_all_but(99);
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].version == index_version{7});
    CHECK(it.node.answers()[0].included.size() == 4);
}

TEST_CASE("a silent shard is reported missing at the deadline, with the reason") {
    fixture it{no_extra_document};
    it.node.search(std::chrono::milliseconds{200});
    it.reply_all_but(2);
    it.advance(190);
    CHECK(it.node.answers().empty());
    it.advance(10);
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].result == outcome::partial);
    REQUIRE(it.node.answers()[0].missing.size() == 1);
    CHECK(it.node.answers()[0].missing[0].shard == shard_id{2});
    CHECK(it.node.answers()[0].missing[0].reason == missing_reason::deadline);
    CHECK(it.node.open_requests().empty());
}

TEST_CASE("with tail preference a search with enough shards ends at the tail cut") {
    fixture it{tail_document};
    it.node.search();
    it.reply_all_but(2);
    it.advance(99);
    CHECK(it.node.answers().empty());
    it.advance(1);
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].missing[0].reason == missing_reason::tail_cut);
}

TEST_CASE("a shard with full queues is missing as load_shed, one without usable servers as no_replica") {
    fixture it{"[service]\nname = desk\nmax_deadline_ms = 60000\n[limits]\nslots_per_server = 1000\n"
               "connections_per_server = 2\nqueue_per_server = 0\n[hedge]\nenabled = no\n"};
    for (int n = 0; n < 3; ++n)
        it.node.search(std::chrono::seconds{60});
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].result == outcome::refused);
    CHECK(it.node.answers()[0].missing[0].reason == missing_reason::load_shed);
    it.reply_all_but(99);
    it.node.servers().note_leaving(upstream_id{"127.9.1.1:9000"}, "first", {});
    it.node.servers().note_leaving(upstream_id{"127.9.1.2:9000"}, "first", {});
    it.node.search();
    it.reply_all_but(99);
    CHECK(it.node.answers().back().missing.at(0).reason == missing_reason::no_replica);
}

TEST_CASE("a search abandoned by its caller leaves no open requests") {
    fixture it;
    it.node.search();
    REQUIRE(it.node.open_requests().size() == 4);
    it.node.router().abandon(run_id{1});
    CHECK(it.node.open_requests().empty());
    it.advance(1);
    CHECK(it.node.router().running() == 0);
    CHECK(it.node.answers().empty());
}

TEST_CASE("a graceful stop refuses new requests and lets running ones finish") {
    fixture it;
    bool stopped = false;
    it.node.search();
    it.node.router().stop([&] { stopped = true; });
    it.node.search();
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].reason == refusal_reason::stopping);
    it.advance(1);
    CHECK_FALSE(stopped);
    it.reply_all_but(99);
    it.advance(1);
    REQUIRE(it.node.answers().size() == 2);
    CHECK(it.node.answers()[1].result == outcome::answered);
    CHECK(stopped);
}

TEST_CASE("a node suspended past a deadline answers when it resumes and drops later replies") {
    fixture it;
    it.node.search(std::chrono::milliseconds{200});
    const auto open = it.node.open_requests();
    it.advance(10'000);
    REQUIRE(it.node.answers().size() == 1);
    CHECK(it.node.answers()[0].result == outcome::partial);
    CHECK(it.node.answers()[0].included.empty());
    for (const sent_request& request : open)
        it.node.reply(request);
    CHECK(it.node.answers().size() == 1);
    CHECK(it.node.counts().value("late_results_dropped") == open.size());
}

TEST_CASE("a leaving server gets no new requests, even if an outdated update reports it as live") {
    fixture it;
    const upstream_id leaving{"127.9.2.1:9000"};
    it.node.servers().note_live(leaving, "first");
    it.node.servers().note_leaving(leaving, "first", {});
    it.node.servers().note_live(leaving, "first");
    for (int n = 0; n < 20; ++n) {
        it.node.search();
        for (const sent_request& request : it.node.open_requests())
            CHECK(request.to != leaving);
        it.reply_all_but(99);
    }
    it.node.servers().note_live(leaving, "second");
    bool asked = false;
    for (int n = 0; n < 20; ++n) {
        it.node.search();
        for (const sent_request& request : it.node.open_requests(2))
            asked = asked || request.to == leaving;
        it.reply_all_but(99);
        it.advance(1000);
    }
    CHECK(asked);
}

TEST_CASE("requests that wait for a server that starts to leave go to another one") {
    fixture it{"[service]\nname = desk\n[limits]\nslots_per_server = 1\nconnections_per_server = "
               "2\n[hedge]\nenabled = no\n"};
    for (int n = 0; n < 4; ++n)
        it.node.search(std::chrono::seconds{5});
    // Each of the two servers has one request and the others wait; then the first server leaves.
    const upstream_id leaving = it.node.open_requests(2).front().to;
    it.node.servers().note_leaving(leaving, "first", {});
    for (int n = 0; n < 40 && !it.node.open_requests().empty(); ++n)
        it.node.reply(it.node.open_requests().back(),
                      [](shard_reply& reply) { reply.server_incarnation = "first"; });
    REQUIRE(it.node.answers().size() == 4);
    for (const answer& reply : it.node.answers())
        CHECK(reply.result == outcome::answered);
}

TEST_CASE("under any faults each search is answered once, in time, from one snapshot with exact coverage") {
    constexpr std::uint64_t runs = 300;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        CAPTURE(seed);
        fixture it{desk_document, {6, 7}, seed};
        const auto random = seeded_random(seed);
        constexpr std::size_t searches = 3;
        for (std::size_t n = 0; n < searches; ++n)
            it.node.search(std::chrono::milliseconds{200});
        for (int step = 0; step < 60; ++step) {
            const auto open = it.node.open_requests();
            if (!open.empty() && random() % 3 != 0) {
                const sent_request& request = open[random() % open.size()];
                switch (random() % 6) {
                case 0:
                    it.node.fail(request, static_cast<attempt_error>(random() % attempt_error_count));
                    break;
                case 1:
                    it.node.reply(request, [](shard_reply& reply) { reply.version = index_version{6}; });
                    break;
                case 2:
                    it.node.reply(request, [](shard_reply& reply) { reply.request = request_id{"r2"}; });
                    break;
                default:
                    it.node.reply(request);
                    break;
                }
            }
            it.advance(static_cast<std::int64_t>(random() % 8));
        }
        it.advance(200);
        REQUIRE(it.node.answers().size() == searches);
        for (const answer& reply : it.node.answers()) {
            CHECK(has_one_snapshot(reply));
            if (reply.result != outcome::refused)
                CHECK(has_exact_coverage(reply, 4));
            CHECK((reply.result == outcome::answered) == (reply.included.size() == 4));
        }
        CHECK(it.node.open_requests().empty());
        CHECK(it.node.servers().live_attempts() == 0);
    }
}

} // namespace pollengrade
