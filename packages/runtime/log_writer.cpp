/** @file log_writer.cpp Writes log lines formatted by easylogging++ once the descriptor is writable. */
#include "runtime/log_writer.h"

#include <algorithm>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include "runtime/logging.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

namespace {

constexpr std::size_t max_buffered_bytes = std::size_t{128} * 1024; ///< further lines are dropped
constexpr std::size_t atomic_write_bytes = 4096; ///< a writable pipe accepts this many without blocking
constexpr duration flush_delay =
    std::chrono::milliseconds{20};                          ///< batches the lines of several loop iterations
constexpr duration report_period = std::chrono::seconds{1}; ///< between two reports of omitted lines

/** Budgets by importance: state changes, failures, successes. */
constexpr std::array<line_budget, 3> budgets{{{100, 400}, {100, 300}, {60, 120}}};

bool needs_quotes(std::string_view it) {
    return it.empty() || it.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

void append_value(std::string& buf, std::string_view it) {
    if (!needs_quotes(it)) {
        buf += it;
        return;
    }
    buf += '"';
    for (const char c : it) {
        if (c == '"' || c == '\\')
            buf += '\\';
        buf += c == '\n' || c == '\r' || c == '\t' ? ' ' : c;
    }
    buf += '"';
}

void append_pair(std::string& buf, std::string_view name, std::string_view value) {
    buf += ' ';
    buf += name;
    buf += '=';
    append_value(buf, value);
}

} // namespace

std::string format_event(std::string_view node, const event& it) {
    std::string buf = "stamp=" + std::to_string(it.stamp.wall_ms) + "." + std::to_string(it.stamp.counter);
    append_pair(buf, "node", node);
    append_pair(buf, "event", to_string(it.kind));
    if (!it.request.value().empty())
        append_pair(buf, "request", it.request.value());
    if (!it.subject.empty())
        append_pair(buf, "subject", it.subject);
    for (const event_field& field : it.fields)
        append_pair(buf, to_string(field.key), field.value);
    return buf;
}

log_writer::log_writer(timer_queue& timers, std::string node, int fd)
    : timers_{timers}, node_{std::move(node)}, fd_{fd} {
    for (std::size_t n = 0; n < importance_count; ++n)
        buckets_.at(n) = {budgets.at(n).burst, timers.now()};
    set_line_sink([this](std::string_view line) { append(line); });
}

log_writer::~log_writer() {
    set_line_sink(nullptr);
    flush();
}

log_writer::importance log_writer::importance_of(const event& it) {
    switch (it.kind) {
    case event_kind::request_received:
    case event_kind::snapshot_pinned:
    case event_kind::query_planned:
    case event_kind::shard_hedged:
    case event_kind::shard_retried:
        return importance::success;
    case event_kind::request_ended: {
        const bool is_answered =
            std::any_of(it.fields.begin(), it.fields.end(), [](const event_field& field) {
                return field.key == event_key::outcome && field.value == "answered";
            });
        return is_answered ? importance::success : importance::failure;
    }
    case event_kind::request_refused:
    case event_kind::request_abandoned:
    case event_kind::shard_missing:
    case event_kind::attempt_failed:
        return importance::failure;
    default:
        return importance::state;
    }
}

bool log_writer::take_token(importance what) {
    const auto n = static_cast<std::size_t>(what);
    bucket& it = buckets_.at(n);
    const auto passed = static_cast<double>((timers_.now() - it.refilled).count()) / 1e6;
    it.refilled = timers_.now();
    it.tokens = std::min(budgets.at(n).burst, it.tokens + passed * budgets.at(n).per_second);
    if (it.tokens < 1)
        return false;
    it.tokens -= 1;
    return true;
}

void log_writer::write(const event& it) {
    if (take_token(importance_of(it))) {
        write_line(format_event(node_, it));
        return;
    }
    ++omitted_;
    if (!report_timer_)
        report_timer_ = timers_.schedule_after(report_period, [this] { report_omitted_lines(); });
}

void log_writer::report_omitted_lines() {
    report_timer_.reset();
    event it;
    it.stamp.wall_ms = wall_now().time_since_epoch().count();
    it.kind = event_kind::lines_left_out;
    it.fields.emplace_back(event_key::lines, omitted_ - std::exchange(reported_, omitted_));
    write_line(format_event(node_, it));
}

void log_writer::append(std::string_view line) {
    if (buffered_.size() + line.size() > max_buffered_bytes) {
        ++omitted_;
        if (!report_timer_)
            report_timer_ = timers_.schedule_after(report_period, [this] { report_omitted_lines(); });
        return;
    }
    buffered_ += line;
    schedule_flush();
}

void log_writer::schedule_flush() {
    if (flush_timer_ || buffered_.empty())
        return;
    flush_timer_ = timers_.schedule_after(flush_delay, [this] {
        flush_timer_.reset();
        flush();
        schedule_flush();
    });
}

void log_writer::flush() {
    std::size_t done = 0;
    while (done < buffered_.size()) {
        pollfd state{fd_, POLLOUT, 0};
        if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
            break;
        const std::size_t size = std::min(atomic_write_bytes, buffered_.size() - done);
        const ssize_t n = ::write(fd_, buffered_.data() + done, size);
        if (n <= 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    buffered_.erase(0, done);
}

} // namespace pollengrade
