/** @file fault_injector.h Carries planned faults out: signals, links, the stand-ins' switches. */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/base/timer_queue.h"
#include "fault_plan.h"
#include "link_proxy.h"
#include "net/client_connection.h"
#include "operator_client.h"

namespace pollengrade {

/** The links of a run and what is done to them and to the processes at their ends. */
class fault_injector {
public:
    fault_injector(socket_poller& poller, timer_queue& timers, const soak_config& config,
                   operator_client& writer);

    /** Opens the links. @return false when an address cannot be listened on */
    [[nodiscard]] bool start_links();
    /** Carries a plan out from now on. */
    void play(const std::vector<planned_fault>& plan);
    /** Kills every node at once. */
    void kill_all();

    /** @return what was done to nodes and the store. */
    [[nodiscard]] const std::vector<disturbance>& disturbances() const noexcept { return disturbances_; }
    /** @return what was done to servers; their target is a replica. */
    [[nodiscard]] const std::vector<disturbance>& server_disturbances() const noexcept {
        return server_disturbances_;
    }
    /** @return nodes that were still running after their grace. */
    [[nodiscard]] std::uint32_t overdue_stops() const noexcept { return overdue_stops_; }

private:
    void inject(const planned_fault& it);
    void inject_node_fault(const planned_fault& it);
    void inject_servers_fault(const planned_fault& it);
    void inject_store_fault(const planned_fault& it);
    void pause(const std::string& process, duration length);
    void stop_node(std::uint32_t node);
    void switch_servers(const planned_fault& it, const std::string& on, const std::string& off);
    void set_mode(std::vector<std::unique_ptr<link_proxy>>& links, std::size_t first, std::size_t step,
                  link_mode mode, duration length);
    void call(const std::string& address, const std::string& path);
    void record_disturbance(std::uint32_t node, duration length, bool is_planned);
    void signal(const std::string& process, int number) const;
    [[nodiscard]] int pid_of(const std::string& process) const;

    socket_poller& poller_;                                 ///< the loop's sockets
    timer_queue& timers_;                                   ///< the clock
    const soak_config& config_;                             ///< the run
    operator_client& writer_;                               ///< writes versions
    std::vector<std::unique_ptr<link_proxy>> caller_links_; ///< to each node
    std::vector<std::unique_ptr<link_proxy>> store_links_;  ///< from each node
    std::vector<std::unique_ptr<link_proxy>> server_links_; ///< by service, then by replica
    std::vector<disturbance> disturbances_;                 ///< see disturbances()
    std::vector<disturbance> server_disturbances_;          ///< see server_disturbances()
    std::vector<std::unique_ptr<client_connection>> calls_; ///< to the stand-ins' control pages
    std::uint32_t overdue_stops_ = 0;                       ///< see overdue_stops()
};

} // namespace pollengrade
