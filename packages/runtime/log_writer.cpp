/** @file log_writer.cpp Lines by easylogging++, written when the descriptor takes them. */
#include "runtime/log_writer.h"

#include <algorithm>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include "runtime/logging.h"
#include "runtime/loop_clock.h"

namespace pollengrade {

namespace {

constexpr std::size_t most_waiting_bytes = std::size_t{128} * 1024; ///< lines beyond it are dropped
constexpr std::size_t atomic_write_bytes = 4096;                    ///< a pipe that is writable takes as many
constexpr duration flush_delay =
    std::chrono::milliseconds{20};                          ///< lines of some turns of the loop go together
constexpr duration report_period = std::chrono::seconds{1}; ///< between two lines about lines left out

/** Budgets by importance: changes of state, failures, successes. */
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

bool log_writer::take(importance what) {
    const auto n = static_cast<std::size_t>(what);
    bucket& it = buckets_.at(n);
    const auto passed = static_cast<double>((timers_.now() - it.refilled).count()) / 1e6;
    it.refilled = timers_.now();
    it.saved = std::min(budgets.at(n).burst, it.saved + passed * budgets.at(n).per_second);
    if (it.saved < 1)
        return false;
    it.saved -= 1;
    return true;
}

void log_writer::write(const event& it) {
    if (take(importance_of(it))) {
        write_line(format_event(node_, it));
        return;
    }
    ++left_out_;
    if (!report_)
        report_ = timers_.schedule_after(report_period, [this] { tell_left_out(); });
}

void log_writer::tell_left_out() {
    report_.reset();
    event it;
    it.stamp.wall_ms = wall_now().time_since_epoch().count();
    it.kind = event_kind::lines_left_out;
    it.fields.emplace_back(event_key::lines, left_out_ - std::exchange(told_, left_out_));
    write_line(format_event(node_, it));
}

void log_writer::append(std::string_view line) {
    if (waiting_.size() + line.size() > most_waiting_bytes) {
        ++left_out_;
        if (!report_)
            report_ = timers_.schedule_after(report_period, [this] { tell_left_out(); });
        return;
    }
    waiting_ += line;
    arm();
}

void log_writer::arm() {
    if (flush_ || waiting_.empty())
        return;
    flush_ = timers_.schedule_after(flush_delay, [this] {
        flush_.reset();
        flush();
        arm();
    });
}

void log_writer::flush() {
    std::size_t done = 0;
    while (done < waiting_.size()) {
        pollfd state{fd_, POLLOUT, 0};
        if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
            break;
        const std::size_t size = std::min(atomic_write_bytes, waiting_.size() - done);
        const ssize_t n = ::write(fd_, waiting_.data() + done, size);
        if (n <= 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    waiting_.erase(0, done);
}

} // namespace pollengrade
