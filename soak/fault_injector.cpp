/** @file fault_injector.cpp Injection of faults by signals, link modes and control calls. */
#include "fault_injector.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <utility>

#include "broken_reply.h"
#include "crowd.h"
#include "net/message_writer.h"
#include "process_func.h"
#include "routes_text.h"

namespace pollengrade {

namespace {

constexpr message_limits reply_limits{std::size_t{64} * 1024, std::size_t{1024} * 1024};
constexpr duration restart_time =
    std::chrono::seconds{2}; ///< for a process to be restarted by its supervisor loop in tools/soak
constexpr duration stop_gap = std::chrono::milliseconds{700}; ///< between two nodes that are stopped in turn
/** Time for which servers that leave go on serving; longer than nodes may take to notice. */
constexpr duration leaving_time = std::chrono::seconds{8};
constexpr duration link_delay = std::chrono::milliseconds{60};
constexpr duration control_retry_delay =
    std::chrono::milliseconds{100}; ///< before a failed control call is retried
constexpr duration handler_poll_interval =
    std::chrono::milliseconds{10}; ///< between checks whether a process has installed its signal handler
constexpr duration memory_check_period = std::chrono::milliseconds{200};
constexpr duration exit_slack =
    std::chrono::seconds{1}; ///< after the grace period, before a stop counts as overdue

std::string node_process(std::uint32_t node) {
    return "node-" + std::to_string(node + 1);
}
std::string servers_process(std::uint32_t replica) {
    return "servers-" + std::to_string(replica);
}

} // namespace

fault_injector::fault_injector(socket_poller& poller, timer_queue& timers, const soak_config& config,
                               operator_client& writer)
    : poller_{poller}, timers_{timers}, config_{config}, writer_{writer} {
    for (std::uint32_t n = 0; n < config.nodes; ++n) {
        caller_links_.push_back(
            std::make_unique<link_proxy>(poller, timers, config.node_proxy(n), config.node_address(n)));
        store_links_.push_back(
            std::make_unique<link_proxy>(poller, timers, config.store_proxy(n), config.store_address()));
    }
    for (std::uint32_t service = 0; service < service_count; ++service) {
        for (std::uint32_t n = 0; n < config.replicas; ++n)
            server_links_.push_back(std::make_unique<link_proxy>(
                poller, timers, config.server_proxy(service, n), config.server_address(service, n)));
    }
}

bool fault_injector::start_links() {
    for (const auto* links : {&caller_links_, &store_links_, &server_links_}) {
        for (const auto& it : *links) {
            if (!it->start())
                return false;
        }
    }
    return true;
}

void fault_injector::schedule(const std::vector<planned_fault>& plan) {
    for (const planned_fault& it : plan)
        timers_.schedule_after(it.at, [this, it] { inject(it); });
}

void fault_injector::watch_memory() {
    for (std::uint32_t n = 0; n < config_.nodes; ++n)
        highest_memory_ = std::max(highest_memory_, peak_memory(pid_of(node_process(n))));
    timers_.schedule_after(memory_check_period, [this] { watch_memory(); });
}

void fault_injector::kill_all() {
    std::cout << "killing all nodes\n";
    for (std::uint32_t n = 0; n < config_.nodes; ++n)
        kill_node(n);
}

void fault_injector::kill_node(std::uint32_t node) {
    signal(node_process(node), SIGKILL);
    record_disturbance(node, restart_time, false, true);
}

int fault_injector::pid_of(const std::string& process) const {
    std::ifstream in{config_.directory + "/" + process + ".pid"};
    int pid = 0;
    in >> pid;
    return pid;
}

void fault_injector::signal(const std::string& process, int number) const {
    const int pid = pid_of(process);
    if (pid <= 1 || ::kill(pid, number) != 0)
        std::cout << process << " is not running: cannot send signal " << number << "\n";
}

void fault_injector::record_disturbance(std::uint32_t node, duration length, bool is_planned,
                                        bool ends_process) {
    disturbances_.push_back({node, timers_.now(), timers_.now() + length, is_planned, ends_process});
}

void fault_injector::pause(const std::string& process, duration length) {
    signal(process, SIGSTOP);
    timers_.schedule_after(length, [this, process] { signal(process, SIGCONT); });
}

void fault_injector::stop_node(std::uint32_t node) {
    const std::string process = node_process(node);
    const int pid = pid_of(process);
    if (pid <= 1) {
        std::cout << process << " is not running: cannot be stopped\n";
        return;
    }
    if (!has_handler(pid, SIGTERM)) {
        // The process has just been started and has no handler yet: the signal would terminate it
        // immediately, so the stop is retried later.
        timers_.schedule_after(handler_poll_interval, [this, node] { stop_node(node); });
        return;
    }
    signal(process, SIGTERM);
    record_disturbance(node, grace + restart_time, true, true);
    timers_.schedule_after(grace + exit_slack, [this, process, pid] {
        if (pid_of(process) != pid || ::kill(pid, 0) != 0)
            return;
        std::cout << process << " " << pid << " is still running after its grace period\n";
        ++overdue_stops_;
        ::kill(pid, SIGKILL);
    });
}

void fault_injector::reload_node(std::uint32_t node) {
    const std::string process = node_process(node);
    const int pid = pid_of(process);
    // The kernel ends a process that is still being loaded, see stop_node().
    if (pid > 1 && !has_handler(pid, SIGHUP) && !ignores(pid, SIGHUP)) {
        timers_.schedule_after(handler_poll_interval, [this, node] { reload_node(node); });
        return;
    }
    record_disturbance(node, duration{0}, true);
    signal(process, SIGHUP);
}

void fault_injector::set_mode(std::vector<std::unique_ptr<link_proxy>>& links, std::size_t first,
                              std::size_t step, link_mode mode, duration length) {
    for (std::size_t n = first; n < links.size(); n += step) {
        links[n]->set_mode(mode, link_delay);
        timers_.schedule_after(length, [&it = *links[n]] { it.set_mode(link_mode::clear); });
    }
}

void fault_injector::inject(const planned_fault& it) {
    std::cout << to_string(it.kind) << " target " << it.target << " service " << it.service << " for "
              << to_milliseconds(it.length) << " ms\n";
    if (it.kind == fault_kind::callers_crowding) {
        start_crowd(it);
    } else if (it.kind == fault_kind::node_left_alone) {
        leave_alone(it);
    } else if (it.kind == fault_kind::entry_odd) {
        call(config_.store_address(), "/standin/odd-entry?kind=" + std::to_string(it.target));
    } else if (it.kind <= fault_kind::all_nodes_killed || it.kind == fault_kind::callers_delayed ||
               it.kind == fault_kind::callers_reset) {
        inject_node_fault(it);
    } else if (it.kind <= fault_kind::servers_cut) {
        server_disturbances_.push_back(
            {it.target, timers_.now(), timers_.now() + it.length + restart_time, false});
        inject_servers_fault(it);
    } else {
        inject_store_fault(it);
    }
}

void fault_injector::leave_alone(const planned_fault& it) {
    for (std::uint32_t n = 0; n < config_.nodes; ++n) {
        if (n != it.target) {
            record_disturbance(n, it.length, false, true);
            hold_back(node_process(n), it.length);
        }
        kill_node(n);
    }
    // The node has been undisturbed for long enough to be checked when the version is due.
    timers_.schedule_after(it.length / 3, [this] { writer_.write({0, 1, 2, 3}); });
}

void fault_injector::hold_back(const std::string& process, duration length) {
    const std::string file = config_.directory + "/" + process + ".hold";
    std::ofstream{file} << "\n";
    timers_.schedule_after(length, [file] { std::filesystem::remove(file); });
}

void fault_injector::start_crowd(const planned_fault& it) {
    // None of these requests is ever passed on to a server.
    constexpr std::size_t clients = 250;
    const std::string head =
        std::string{" HTTP/1.1\r\nHost: "} + routes_host + "\r\n" + wire_names::request_id + ": crowd\r\n";
    crowd_behaviour behaviour;
    behaviour.opened_per_turn = 10; // Long bodies then take 50 MB a second, more than the link of a VM.
    switch (it.service) {
    case 0: { // Sends the end of a long body a byte at a time.
        std::string post = "POST " + path_of(route_kind::order, 1) + "crowd" + head +
                           "Content-Length: 262144\r\n\r\n" + std::string(262144, 'b');
        behaviour.bytes = [post = std::move(post)](std::size_t) { return std::string{post}; };
        behaviour.trickled = 1000;
        break;
    }
    case 1: // Sends a head a byte at a time.
        behaviour.bytes = [head](std::size_t) { return "GET /none/" + head + "\r\n"; };
        behaviour.trickled = head.size();
        break;
    case 2: // Sends many requests at once and reads nothing.
        behaviour.bytes = [head](std::size_t) {
            std::string many;
            for (int n = 0; n < 500; ++n)
                many += "GET /none/" + head + "\r\n";
            return many;
        };
        break;
    default: // Sends nothing.
        break;
    }
    play_crowd(std::make_shared<crowd>(config_.node_address(it.target), clients, std::move(behaviour)),
               timers_.now() + it.length);
}

void fault_injector::play_crowd(const std::shared_ptr<crowd>& it, time_point end) {
    it->take_turns();
    if (timers_.now() < end)
        timers_.schedule_after(crowd_turn, [this, it, end] { play_crowd(it, end); });
}

void fault_injector::inject_node_fault(const planned_fault& it) {
    const std::string process = node_process(it.target);
    switch (it.kind) {
    case fault_kind::node_paused:
        record_disturbance(it.target, it.length, false, true);
        pause(process, it.length);
        break;
    case fault_kind::node_killed:
        kill_node(it.target);
        break;
    case fault_kind::nodes_killed:
        for (std::uint32_t n = 0; n < config_.nodes; ++n) {
            if (n != it.target)
                kill_node(n);
        }
        break;
    case fault_kind::node_stopped:
        stop_node(it.target);
        break;
    case fault_kind::nodes_stopped:
        for (std::uint32_t n = 0; n + 1 < config_.nodes; ++n)
            timers_.schedule_after(stop_gap * n,
                                   [this, node = (it.target + 1 + n) % config_.nodes] { stop_node(node); });
        break;
    case fault_kind::node_reloaded:
        reload_node(it.target);
        break;
    case fault_kind::callers_delayed:
        record_disturbance(it.target, it.length, false);
        set_mode(caller_links_, it.target, caller_links_.size(), link_mode::delayed, it.length);
        break;
    case fault_kind::callers_reset:
        record_disturbance(it.target, duration{0}, false);
        caller_links_[it.target]->reset_all();
        break;
    default:
        kill_all();
        break;
    }
}

void fault_injector::inject_servers_fault(const planned_fault& it) {
    const std::string process = servers_process(it.target);
    switch (it.kind) {
    case fault_kind::servers_paused:
        pause(process, it.length);
        break;
    case fault_kind::servers_killed:
        signal(process, SIGKILL);
        break;
    case fault_kind::servers_drained:
        signal(process, SIGTERM);
        break;
    case fault_kind::servers_frozen:
        set_server_fault(it, "frozen=1", "frozen=0");
        break;
    case fault_kind::servers_shedding:
        set_server_fault(it, "shedding=1", "shedding=0");
        break;
    case fault_kind::servers_dropping:
        set_server_fault(it, "drop_after_run=1", "drop_after_run=0");
        break;
    case fault_kind::servers_misanswering:
        set_server_fault(it, "wrong_request=1", "wrong_request=0");
        break;
    case fault_kind::servers_cutting_heads:
        set_server_fault(it, "cut_head=1", "cut_head=0");
        break;
    case fault_kind::servers_breaking_replies: {
        constexpr auto ways = static_cast<std::int64_t>(broken_reply::count) - 1;
        const std::int64_t way = 1 + to_milliseconds(it.at) % ways;
        set_server_fault(it, "broken=" + std::to_string(way), "broken=0");
        break;
    }
    case fault_kind::servers_pausing:
        set_server_fault(it, "shedding=1&pause_ms=" + std::to_string(to_milliseconds(it.length)),
                         "shedding=0&pause_ms=20");
        break;
    case fault_kind::servers_leaving:
        call(config_.control_address(it.target), "/set?states_leaving=1");
        timers_.schedule_after(leaving_time, [this, process] { signal(process, SIGKILL); });
        break;
    case fault_kind::servers_removed:
        call(config_.control_address(it.target), "/set?remove_entries=1");
        timers_.schedule_after(leaving_time, [this, process] { signal(process, SIGKILL); });
        break;
    case fault_kind::servers_slow:
        set_server_fault(it, "service_us=40000", "service_us=4000");
        break;
    case fault_kind::servers_silent:
        for (std::size_t n = it.target; n < server_links_.size(); n += config_.replicas)
            server_links_[n]->stall_open();
        break;
    case fault_kind::servers_reset:
        for (std::size_t n = it.target; n < server_links_.size(); n += config_.replicas)
            server_links_[n]->reset_all();
        break;
    default:
        set_mode(server_links_, it.target, config_.replicas, link_mode::cut, it.length);
        break;
    }
}

void fault_injector::inject_store_fault(const planned_fault& it) {
    const auto set_fault = [&](const char* mode) {
        record_disturbance(all_nodes, it.length, false);
        call(config_.store_address(), std::string{"/standin/fault?mode="} + mode);
        timers_.schedule_after(it.length,
                               [this] { call(config_.store_address(), "/standin/fault?mode=none"); });
    };
    const auto set_link = [&](link_mode mode) {
        record_disturbance(it.target, it.length, false);
        set_mode(store_links_, it.target, store_links_.size(), mode, it.length);
    };
    switch (it.kind) {
    case fault_kind::store_link_cut:
        set_link(link_mode::cut);
        break;
    case fault_kind::store_link_one_way:
        set_link(link_mode::one_way);
        break;
    case fault_kind::store_link_delayed:
        set_link(link_mode::delayed);
        break;
    case fault_kind::store_link_silent:
        record_disturbance(it.target, duration{0}, false);
        store_links_[it.target]->stall_open();
        break;
    case fault_kind::store_paused:
        record_disturbance(all_nodes, it.length, false);
        pause("store", it.length);
        break;
    case fault_kind::store_down:
        set_fault("down");
        break;
    case fault_kind::store_silent:
        set_fault("silent");
        break;
    case fault_kind::store_loses_replies:
        set_fault("lose_replies");
        break;
    case fault_kind::store_loses_calls:
        set_fault("lose_calls");
        break;
    case fault_kind::store_forgets:
        record_disturbance(all_nodes, duration{0}, false);
        call(config_.store_address(), "/standin/forget");
        break;
    default:
        writer_.write(it.target % 2 == 0 ? std::vector<std::uint32_t>{0, 1, 2, 3, 4, 5}
                                         : std::vector<std::uint32_t>{0, 1, 2, 3});
        break;
    }
}

void fault_injector::set_server_fault(const planned_fault& it, const std::string& on,
                                      const std::string& off) {
    const std::string address = config_.control_address(it.target);
    const std::string path = "/set?shard=" + std::to_string(it.service) + "&";
    call(address, path + on);
    timers_.schedule_after(it.length, [this, address, path, off] { call(address, path + off); });
}

void fault_injector::call(const std::string& address, const std::string& path) {
    auto& waiting = waiting_calls_[address];
    waiting.push_back(path);
    if (waiting.size() == 1)
        send_call(address);
}

void fault_injector::end_call(const std::string& address) {
    auto& waiting = waiting_calls_[address];
    waiting.pop_front();
    if (!waiting.empty())
        timers_.schedule_after(duration{0}, [this, address] { send_call(address); });
}

void fault_injector::send_call(const std::string& address) {
    const std::string path = waiting_calls_[address].front();
    const std::size_t index = calls_.size();
    request_message message{"GET", path, {{"Host", address}, {"Connection", "close"}}, {}, false};
    outgoing_request out;
    append_request_header(out.header, message, 0);
    out.header += "\r\n";
    client_connection_hooks hooks;
    hooks.connected = [this, index, out] { calls_[index]->send(out); };
    const auto has_ended = std::make_shared<bool>(false);
    hooks.replied = [this, address, has_ended](const reply_message&) {
        if (!std::exchange(*has_ended, true))
            end_call(address);
    };
    hooks.ended = [this, address, has_ended](connection_end why) {
        if (std::exchange(*has_ended, true))
            return;
        // A stand-in that has exited restarts without the fault, so no retry is needed. One that is suspended
        // accepts calls later, so the call is retried; later ones wait, as they may end what it begins.
        if (why == connection_end::silent)
            timers_.schedule_after(control_retry_delay, [this, address] { send_call(address); });
        else
            end_call(address);
    };
    calls_.push_back(std::make_unique<client_connection>(poller_, address, reply_limits, std::move(hooks)));
    if (!calls_[index]->connect()) {
        std::cout << address << path << " could not be connected to\n";
        end_call(address);
    }
}

} // namespace pollengrade
