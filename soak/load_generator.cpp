/** @file load_generator.cpp Request arrivals, connection reuse and replies. */
#include "load_generator.h"

#include <charconv>
#include <cmath>
#include <iterator>
#include <string_view>
#include <utility>

#include "net/message_writer.h"
#include "platform/wire_names.h"
#include "routes_text.h"

namespace pollengrade {

namespace {

constexpr message_limits reply_limits{std::size_t{64} * 1024, std::size_t{1024} * 1024};
constexpr std::uint64_t kept_connection_one_in = 4; ///< requests that use any open connection
constexpr duration caller_timeout_slack =
    std::chrono::seconds{3}; ///< after the request's time-out, before the caller closes the connection

std::vector<std::string> split(std::string_view text) {
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto comma = text.find(',');
        std::string_view one = text.substr(0, comma);
        while (one.starts_with(' '))
            one.remove_prefix(1);
        if (!one.empty())
            parts.emplace_back(one);
        text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    }
    return parts;
}

duration timeout_of(route_kind kind) {
    return kind == route_kind::gather ? gather_timeout : single_timeout;
}

} // namespace

load_generator::load_generator(socket_poller& poller, timer_queue& timers,
                               std::function<std::uint64_t()> random, const soak_config& config,
                               const std::vector<route_version>& versions,
                               std::function<std::uint32_t()> pick)
    : poller_{poller}, timers_{timers}, random_{std::move(random)}, config_{config}, versions_{versions},
      pick_node_{std::move(pick)} {}

void load_generator::start(double rate) {
    rate_ = rate;
    sending_ = true;
    next_arrival_ = timers_.now();
    schedule();
}

void load_generator::schedule() {
    // Exponentially distributed gaps make the arrivals a Poisson process: they are independent of each other.
    constexpr double two_to_53 = 9007199254740993.0;
    const double uniform = (static_cast<double>(random_() >> 11U) + 1) / two_to_53;
    constexpr double microseconds = 1e6;
    next_arrival_ += duration{static_cast<duration::rep>(-std::log(uniform) / rate_ * microseconds)};
    timers_.schedule_at(next_arrival_, [this] {
        if (!sending_)
            return;
        send_one();
        schedule();
    });
}

request_record load_generator::make_record() {
    request_record it;
    it.id = "q" + std::to_string(config_.seed) + "x" + std::to_string(records_.size());
    constexpr std::uint64_t tenths = 10;
    const std::uint64_t n = random_() % tenths;
    it.kind = n < 4   ? route_kind::gather
              : n < 6 ? route_kind::lookup
              : n < 9 ? route_kind::order
                      : route_kind::versioned;
    it.node = pick_node_();
    it.version = versions_.back().number;
    it.sent = timers_.now();
    return it;
}

outgoing_request load_generator::encode(const request_record& it) const {
    request_message message;
    message.method = it.kind == route_kind::order ? "POST" : "GET";
    message.target = path_of(it.kind, it.version) + it.id;
    message.fields = {{"Host", routes_host},
                      {wire_names::request_id, it.id},
                      {wire_names::deadline_ms, std::to_string(to_milliseconds(timeout_of(it.kind)))}};
    outgoing_request out;
    if (it.kind == route_kind::order)
        out.body = std::make_shared<const std::string>("order " + it.id);
    append_request_header(out.header, message, out.body ? out.body->size() : 0);
    out.header += "\r\n";
    return out;
}

void load_generator::send_one() {
    const std::size_t record = records_.size();
    records_.push_back(make_record());
    // Some callers go on using an open connection, whatever the load balancer thinks of its node.
    if (!idle_.empty() && random_() % kept_connection_one_in == 0) {
        const auto kept = std::next(idle_.begin(), static_cast<std::ptrdiff_t>(random_() % idle_.size()));
        records_.back().node = kept->first;
    }
    const std::uint32_t node = records_.back().node;
    if (const auto kept = idle_.find(node); kept != idle_.end()) {
        const connection_key key = kept->second;
        idle_.erase(kept);
        send(key, record);
        return;
    }
    open(node, record);
}

void load_generator::open(std::uint32_t node, std::size_t record) {
    const connection_key key = next_key_++;
    client_connection_hooks hooks;
    hooks.connected = [this, key] { send(key, connections_.at(key).record); };
    hooks.replied = [this, key](reply_message reply) { on_reply(key, std::move(reply)); };
    hooks.ended = [this, key](connection_end why) {
        on_lost(key, why == connection_end::unreadable ? soak_outcome::broken : soak_outcome::lost);
    };
    caller_connection& it = connections_[key];
    it.connection = std::make_unique<client_connection>(poller_, config_.node_proxy(node), reply_limits,
                                                        std::move(hooks));
    it.node = node;
    it.record = record;
    if (!it.connection->connect())
        on_lost(key, soak_outcome::lost);
}

void load_generator::send(connection_key key, std::size_t record) {
    caller_connection& it = connections_.at(key);
    it.record = record;
    const request_record& sent = records_[record];
    it.timeout = timers_.schedule_at(sent.sent + timeout_of(sent.kind) + caller_timeout_slack, [this, key] {
        connections_.at(key).timeout.reset();
        on_lost(key, soak_outcome::lost);
    });
    it.connection->send(encode(sent));
}

void load_generator::on_reply(connection_key key, reply_message reply) {
    caller_connection& it = connections_.at(key);
    request_record& record = records_[it.record];
    record.outcome = soak_outcome::replied;
    record.ended = timers_.now();
    record.status = reply.status;
    const bool is_gather = record.kind == route_kind::gather;
    record.signatures =
        split(value_of(reply.fields, is_gather ? wire_names::part_signatures : wire_names::signature));
    const std::string_view missing = value_of(reply.fields, wire_names::missing_parts);
    std::from_chars(missing.data(), missing.data() + missing.size(), record.missing);
    record.body = std::move(reply.body);
    if (it.timeout)
        timers_.cancel(*std::exchange(it.timeout, std::nullopt));
    if (reply.keep_alive)
        idle_.emplace(it.node, key);
    else
        close(key);
}

void load_generator::on_lost(connection_key key, soak_outcome outcome) {
    caller_connection& it = connections_.at(key);
    request_record& record = records_[it.record];
    if (record.outcome == soak_outcome::pending) {
        record.outcome = outcome;
        record.ended = timers_.now();
    }
    close(key);
}

void load_generator::close(connection_key key) {
    auto node = connections_.extract(key);
    caller_connection& it = node.mapped();
    if (it.timeout)
        timers_.cancel(*it.timeout);
    std::erase_if(idle_, [key](const auto& entry) { return entry.second == key; });
    it.connection->close();
    if (retired_.empty())
        timers_.schedule_after(duration{0}, [this] { retired_.clear(); });
    retired_.push_back(std::move(it.connection));
}

} // namespace pollengrade
