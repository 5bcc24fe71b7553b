/** @file log_test.cpp Log lines: parsed as they were written, rate-limited and written without blocking. */
#include <doctest/doctest.h>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include "runtime/log_line.h"
#include "runtime/log_writer.h"
#include "runtime/logging.h"
#include "support/fake_node.h"

namespace pollengrade {

namespace {

event event_of(event_kind kind, event_fields fields = {}) {
    event it;
    it.stamp = {1234, 5};
    it.kind = kind;
    it.request = request_id{"r 1"};
    it.subject = "a=\"b\"";
    it.fields = std::move(fields);
    return it;
}

/** A non-blocking pipe; a test may leave its read end unread. */
struct pipe_pair {
    pipe_pair() { REQUIRE(::pipe2(ends.data(), O_NONBLOCK) == 0); }
    pipe_pair(const pipe_pair&) = delete;
    pipe_pair& operator=(const pipe_pair&) = delete;
    pipe_pair(pipe_pair&&) = delete;
    pipe_pair& operator=(pipe_pair&&) = delete;
    ~pipe_pair() {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string read() const {
        std::string text(1 << 20, '\0');
        const ssize_t n = ::read(ends[0], text.data(), text.size());
        text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return text;
    }

    std::array<int, 2> ends{};
};

std::size_t lines_in(const std::string& text) {
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

TEST_CASE(
    "every event and field has a name, and the parser returns each line's values as they were written") {
    for (std::size_t kind = 0; kind < static_cast<std::size_t>(event_kind::count); ++kind) {
        event_fields fields;
        for (std::size_t key = 0; key < static_cast<std::size_t>(event_key::count); ++key) {
            CHECK_FALSE(to_string(static_cast<event_key>(key)).empty());
            fields.emplace_back(static_cast<event_key>(key), "value \"" + std::to_string(key) + "\" = \\ x");
        }
        const event it = event_of(static_cast<event_kind>(kind), fields);
        CHECK_FALSE(to_string(it.kind).empty());
        const auto parts = parse_log_line("2026-01-01T00:00:00.000 n INFO " + format_event("n", it) + "\n");
        REQUIRE(parts.has_value());
        CHECK(parts->wall_ms == 1234);
        CHECK(parts->counter == 5);
        CHECK(parts->node == "n");
        CHECK(parts->event == to_string(it.kind));
        CHECK(parts->request == "r 1");
        CHECK(parts->subject == "a=\"b\"");
        REQUIRE(parts->pairs.size() == fields.size());
        for (std::size_t n = 0; n < fields.size(); ++n) {
            CHECK(parts->pairs[n].name == to_string(fields[n].key));
            CHECK(parts->pairs[n].value == fields[n].value);
        }
    }
    CHECK_FALSE(parse_log_line("no line of ours").has_value());
    CHECK_FALSE(parse_log_line("stamp=12 node=n event=e").has_value());
}

TEST_CASE("excess lines are omitted by budget, successes before failures, and the omission is reported") {
    timer_queue timers = paused_clock();
    const pipe_pair out;
    REQUIRE(start_logging("test", ""));
    log_writer writer{timers, "n", out.ends[1]};
    std::string text;
    for (int n = 0; n < 10000; ++n) {
        writer.write(event_of(event_kind::request_ended, {{event_key::outcome, "answered"}}));
        writer.write(event_of(event_kind::request_ended, {{event_key::outcome, "failed"}}));
        timers.advance_to(timers.now() + std::chrono::milliseconds{1});
        text += out.read();
    }
    timers.advance_to(timers.now() + std::chrono::seconds{2});
    text += out.read();
    std::size_t answered = 0;
    std::size_t failed = 0;
    for (std::size_t at = text.find("outcome="); at != std::string::npos; at = text.find("outcome=", at + 1))
        (text.compare(at, 16, "outcome=answered") == 0 ? answered : failed) += 1;
    CHECK(answered <= 10 * 60 + 120 + 1);
    CHECK(failed <= 10 * 100 + 300 + 1);
    CHECK(failed > answered);
    CHECK(writer.omitted_lines() == 20000 - answered - failed);
    CHECK(text.find("event=lines_left_out") != std::string::npos);
}

TEST_CASE("an unread pipe drops lines without blocking; buffered lines are written once it is read") {
    timer_queue timers = paused_clock();
    const pipe_pair out;
    REQUIRE(start_logging("test", ""));
    log_writer writer{timers, "n", out.ends[1]};
    std::size_t written = 0;
    for (int n = 0; n < 60000; ++n) {
        writer.write(event_of(event_kind::upstream_added));
        ++written;
        timers.advance_to(timers.now() + std::chrono::milliseconds{10});
    }
    CHECK(writer.omitted_lines() > 0);
    std::size_t seen = 0;
    for (int n = 0; n < 100; ++n) {
        const std::string text = out.read();
        seen += lines_in(text);
        timers.advance_to(timers.now() + std::chrono::milliseconds{100});
    }
    CHECK(seen > 500);
    CHECK(seen <= written);
}

} // namespace pollengrade
