/** @file readiness_checker.cpp HTTP requests to the nodes' readiness addresses. */
#include "readiness_checker.h"

#include <utility>

#include "net/message_writer.h"
#include "platform/wire_names.h"

namespace pollengrade {

namespace {

constexpr message_limits reply_limits{std::size_t{8} * 1024, std::size_t{8} * 1024};
constexpr duration check_interval = std::chrono::seconds{1};
constexpr std::uint32_t max_failures = 1; ///< consecutive failures that keep a node in rotation
constexpr unsigned ok = 200;

} // namespace

readiness_checker::readiness_checker(socket_poller& poller, timer_queue& timers, const soak_config& config)
    : poller_{poller}, timers_{timers}, config_{config}, nodes_(config.nodes) {}

void readiness_checker::start() {
    check_all();
}

void readiness_checker::check_all() {
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
        node_state& it = nodes_[n];
        if (it.connection)
            it.failures = it.succeeded ? 0 : it.failures + 1;
        check(n);
    }
    timers_.schedule_after(check_interval, [this] { check_all(); });
}

void readiness_checker::check(std::uint32_t node) {
    node_state& it = nodes_[node];
    it.succeeded = false;
    const std::string address = config_.node_readiness(node);
    request_message message{"GET", wire_names::readiness_path, {{"Host", address}}, {}, false};
    message.fields.push_back({"Connection", "close"});
    outgoing_request out;
    append_request_header(out.header, message, 0);
    out.header += "\r\n";
    client_connection_hooks hooks;
    hooks.connected = [this, node, out] { nodes_[node].connection->send(out); };
    hooks.replied = [this, node](const reply_message& reply) { nodes_[node].succeeded = reply.status == ok; };
    hooks.ended = [](connection_end) {}; // A check without a reply has not succeeded and counts as a failure.
    it.connection = std::make_unique<client_connection>(poller_, address, reply_limits, std::move(hooks));
    if (!it.connection->connect())
        it.succeeded = false;
}

std::size_t readiness_checker::count() const {
    std::size_t n = 0;
    for (const node_state& it : nodes_)
        n += it.failures <= max_failures ? 1 : 0;
    return n;
}

std::uint32_t readiness_checker::pick_node(const std::function<std::uint64_t()>& random) const {
    const std::size_t ready = count();
    // As the users' load balancer does: if fewer than half are in rotation, all are used.
    const bool uses_all = ready * 2 < nodes_.size();
    std::uint64_t left = random() % (uses_all ? nodes_.size() : ready);
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
        if (!uses_all && nodes_[n].failures > max_failures)
            continue;
        if (left-- == 0)
            return n;
    }
    return 0;
}

} // namespace pollengrade
