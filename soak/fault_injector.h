/** @file fault_injector.h Injects planned faults through signals, link proxies and the stand-ins' control
 * calls. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/base/timer_queue.h"
#include "fault_plan.h"
#include "link_proxy.h"
#include "net/client_connection.h"
#include "operator_client.h"

namespace pollengrade {

/** Owns the proxied links of a run and injects faults into them and into the processes that they connect. */
class crowd;

class fault_injector {
public:
    fault_injector(socket_poller& poller, timer_queue& timers, const soak_config& config,
                   operator_client& writer);

    /** Starts all link proxies. @return false if listening on an address fails */
    [[nodiscard]] bool start_links();
    /** Schedules all faults of a plan, starting now. */
    void schedule(const std::vector<planned_fault>& plan);
    /** Kills all nodes at the same time. */
    void kill_all();

    /** @return the disturbances of nodes and of the store. */
    [[nodiscard]] const std::vector<disturbance>& disturbances() const noexcept { return disturbances_; }
    /** @return the disturbances of servers; their node field holds the replica. */
    [[nodiscard]] const std::vector<disturbance>& server_disturbances() const noexcept {
        return server_disturbances_;
    }
    /** @return how many nodes were still running after the grace period of a graceful stop. */
    [[nodiscard]] std::uint32_t overdue_stops() const noexcept { return overdue_stops_; }
    /** Looks at the memory of all nodes, from now on. */
    void watch_memory();
    /** @return the highest memory that any node was seen to have, in bytes. */
    [[nodiscard]] std::size_t highest_memory() const noexcept { return highest_memory_; }

private:
    void inject(const planned_fault& it);
    void inject_node_fault(const planned_fault& it);
    void inject_servers_fault(const planned_fault& it);
    void inject_store_fault(const planned_fault& it);
    void pause(const std::string& process, duration length);
    void leave_alone(const planned_fault& it);
    /** Keeps a process from being started for a time. */
    void hold_back(const std::string& process, duration length);
    void start_crowd(const planned_fault& it);
    void play_crowd(const std::shared_ptr<crowd>& it, time_point end);
    void kill_node(std::uint32_t node);
    void stop_node(std::uint32_t node);
    void reload_node(std::uint32_t node);
    void set_server_fault(const planned_fault& it, const std::string& on, const std::string& off);
    void set_mode(std::vector<std::unique_ptr<link_proxy>>& links, std::size_t first, std::size_t step,
                  link_mode mode, duration length);
    /** Calls a stand-in's control page once all earlier calls to it have been answered. */
    void call(const std::string& address, const std::string& path);
    void send_call(const std::string& address);
    void end_call(const std::string& address);
    void record_disturbance(std::uint32_t node, duration length, bool is_planned, bool ends_process = false);
    void signal(const std::string& process, int number) const;
    [[nodiscard]] int pid_of(const std::string& process) const;

    socket_poller& poller_;                                 ///< watches the sockets
    timer_queue& timers_;                                   ///< schedules the faults
    const soak_config& config_;                             ///< configuration of the run
    operator_client& writer_;                               ///< writes versions of the routes
    std::vector<std::unique_ptr<link_proxy>> caller_links_; ///< links from callers, by node
    std::vector<std::unique_ptr<link_proxy>> store_links_;  ///< links to the store, by node
    std::vector<std::unique_ptr<link_proxy>> server_links_; ///< links to servers, by service, then by replica
    std::vector<disturbance> disturbances_;                 ///< see disturbances()
    std::vector<disturbance> server_disturbances_;          ///< see server_disturbances()
    std::vector<std::unique_ptr<client_connection>> calls_; ///< control calls to the stand-ins
    /** Paths by address, the one that is being called first. */
    std::map<std::string, std::deque<std::string>> waiting_calls_;
    std::uint32_t overdue_stops_ = 0; ///< see overdue_stops()
    std::size_t highest_memory_ = 0;  ///< see highest_memory()
};

} // namespace pollengrade
