/** @file operator_server.cpp Serves operators' pages. */
#include "http/operator_server.h"

#include <string_view>
#include <utility>

namespace pollengrade {

namespace {

constexpr std::size_t max_connections = 64; ///< simultaneous connections of operators and scrapers
constexpr message_limits request_limits{std::size_t{8} * 1024, std::size_t{1024}};
constexpr duration header_timeout = std::chrono::seconds{5};
constexpr duration idle_timeout = std::chrono::seconds{60};

constexpr unsigned ok_status = 200;
constexpr unsigned not_found_status = 404;
constexpr unsigned method_not_allowed_status = 405;

} // namespace

operator_server::operator_server(socket_poller& poller, timer_queue& timers, caller_memory& memory,
                                 metrics& counts, std::map<std::string, operator_page, std::less<>> pages)
    : pages_{std::move(pages)}, listener_{
                                    poller,
                                    timers,
                                    memory,
                                    counts,
                                    max_connections,
                                    {[this](exchange_id id, const request_message& message) {
                                         listener_.reply(id, reply_to(message));
                                     },
                                     [](exchange_id) {},
                                     [] {
                                         return caller_limits{request_limits, header_timeout, idle_timeout};
                                     }}} {}

tl::expected<void, listen_error> operator_server::listen(const node_address& address) {
    return listener_.listen(address.value());
}

reply_message operator_server::reply_to(const request_message& message) const {
    reply_message reply;
    const std::string_view path = std::string_view{message.target}.substr(0, message.target.find('?'));
    const auto it = pages_.find(path);
    if (it == pages_.end()) {
        reply.status = not_found_status;
    } else if (message.method != "GET") {
        reply.status = method_not_allowed_status;
    } else {
        reply.status = ok_status;
        reply.fields.push_back({"Content-Type", it->second.content_type});
        reply.body = it->second.content();
    }
    return reply;
}

} // namespace pollengrade
