/** @file upstream_network.cpp Connections by ID, and the keep-alive timeout in a reply. */
#include "net/upstream_network.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "net/message_writer.h"

namespace pollengrade {

namespace {

constexpr message_limits reply_limits{std::size_t{64} * 1024, std::size_t{4} * 1024 * 1024};
constexpr duration max_idle_limit = std::chrono::hours{1}; ///< caps the timeout that a server announces

/** @return how long the server keeps an idle connection open; zero if the reply doesn't say. */
duration idle_limit_of(const reply_message& reply) {
    constexpr std::string_view key = "timeout=";
    const std::string_view text = value_of(reply.fields, "Keep-Alive");
    const auto position = text.find(key);
    if (position == std::string_view::npos)
        return duration{0};
    const char* first = text.data() + position + key.size();
    std::int64_t seconds = 0;
    if (std::from_chars(first, text.data() + text.size(), seconds).ec != std::errc{} || seconds < 0)
        return duration{0};
    return std::min<duration>(std::chrono::seconds{std::min<std::int64_t>(seconds, 3600)}, max_idle_limit);
}

} // namespace

upstream_network::upstream_network(socket_poller& poller, timer_queue& timers, dispatcher& servers,
                                   reply_memory& replies, upstream_codec codec, std::string source)
    : poller_{poller}, timers_{timers}, servers_{servers}, replies_{replies}, codec_{std::move(codec)},
      source_{std::move(source)} {}

transport_hooks upstream_network::hooks_of(std::unique_ptr<upstream_network>& network) {
    return {
        [&network](connection_id id, const upstream_address& address) { return network->open(id, address); },
        [&network](connection_id id, const upstream_identity& server, const attempt_request& request) {
            network->send(id, server, request);
        },
        [&network](connection_id id) { network->close(id); }};
}

reply_memory_hooks upstream_network::replies_hooks_of(std::unique_ptr<upstream_network>& network) {
    return {[&network](connection_id id) { network->give_up(id); },
            [&network](connection_id id) { network->links_.at(id).connection->resume(); },
            [&network](connection_id id) {
                return reply_origin{network->servers_.server_at(id), network->links_.at(id).request.request};
            }};
}

bool upstream_network::open(connection_id id, const upstream_address& address) {
    client_connection_hooks hooks;
    hooks.connected = [this, id] { servers_.on_connected(id); };
    hooks.replied = [this, id](reply_message reply) { on_replied(id, std::move(reply)); };
    hooks.ended = [this, id](connection_end why) { on_ended(id, why); };
    hooks.received = [this, id](const reply_extent& extent) { return replies_.on_bytes(id, extent); };
    auto connection = std::make_unique<client_connection>(poller_, address.value(), reply_limits,
                                                          std::move(hooks), source_);
    if (!connection->connect())
        return false;
    links_.emplace(id, link{std::move(connection), {}});
    return true;
}

void upstream_network::send(connection_id id, const upstream_identity& server,
                            const attempt_request& request) {
    link& it = links_.at(id);
    it.request = request;
    // The time left is sent in whole milliseconds, rounded down so that servers never get more than is left,
    // but at least as 1 ms.
    const duration left = std::max(request.deadline - timers_.now(), duration{std::chrono::milliseconds{1}});
    it.connection->send(codec_.encode(server, request, left));
}

void upstream_network::give_up(connection_id id) {
    links_.at(id).connection->close();
    // The dispatcher may be on the call stack, so it is told in the next loop iteration.
    timers_.schedule_after(duration{0}, [this, id] {
        if (links_.contains(id))
            on_ended(id, connection_end::over_memory);
    });
}

void upstream_network::close(connection_id id) {
    replies_.end(id);
    const auto node = links_.extract(id);
    if (!node.empty())
        retire(std::move(node.mapped()));
}

void upstream_network::retire(link&& it) {
    // The connection may be on the call stack: its socket is closed now, and the object is destroyed in the
    // next loop iteration.
    it.connection->close();
    if (retired_.empty())
        timers_.schedule_after(duration{0}, [this] { retired_.clear(); });
    retired_.push_back(std::move(it.connection));
}

void upstream_network::on_replied(connection_id id, reply_message reply) {
    const auto found = links_.find(id);
    replies_.end(id);
    const bool keep_alive = reply.keep_alive;
    const reply_terms terms{keep_alive, idle_limit_of(reply), codec_.read_rate(reply),
                            codec_.states_leaving(reply), codec_.read_pause(reply)};
    const attempt_request request = std::exchange(found->second.request, {});
    if (!keep_alive)
        close(id);
    servers_.on_answered(id, codec_.decode(request, std::move(reply)), terms);
}

void upstream_network::on_ended(connection_id id, connection_end why) {
    const auto found = links_.find(id);
    const send_state state = found->second.connection->state();
    close(id);
    servers_.on_connection_ended(id, why, state);
}

} // namespace pollengrade
