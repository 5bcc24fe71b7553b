/** @file link_proxy.h One TCP link of the soak, which can be made slow, silent, one-way, or be reset. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/base/timer_queue.h"
#include "net/socket_poller.h"

namespace pollengrade {

/** How a link treats bytes. */
enum class link_mode : std::uint8_t {
    clear,   ///< passes them on
    delayed, ///< passes them on later
    cut,     ///< holds them back, both ways, until it is clear again
    one_way, ///< holds back those towards whoever connected
};

/** Accepts connections and carries their bytes to another address and back. */
class link_proxy {
public:
    /**
     * @param poller the loop's sockets
     * @param timers the clock
     * @param from "IPv4:port" where it listens
     * @param to "IPv4:port" where it connects
     */
    link_proxy(socket_poller& poller, timer_queue& timers, std::string from, std::string to);
    link_proxy(const link_proxy&) = delete;
    link_proxy& operator=(const link_proxy&) = delete;
    link_proxy(link_proxy&&) = delete;
    link_proxy& operator=(link_proxy&&) = delete;
    ~link_proxy();

    /** Starts to listen. */
    [[nodiscard]] bool start();
    /** Changes how bytes are treated from now on. @param delay of link_mode::delayed */
    void set_mode(link_mode mode, duration delay = duration{0});
    /** Resets every connection. */
    void reset_all();
    /** Connections that are open now carry nothing any more, and do not end; new ones work. */
    void stall_open();

private:
    class pipe;

    void accept();
    void retire(std::uint64_t key);
    [[nodiscard]] bool is_blocked(bool to_client) const;

    socket_poller& poller_;                                ///< the loop's sockets
    timer_queue& timers_;                                  ///< the clock
    std::string from_;                                     ///< where it listens
    std::string to_;                                       ///< where it connects
    unique_fd listener_;                                   ///< the listening socket
    socket_watch watch_;                                   ///< of the listening socket
    std::map<std::uint64_t, std::unique_ptr<pipe>> pipes_; ///< open connections
    std::vector<std::unique_ptr<pipe>> retired_;           ///< destroyed at the next turn
    std::uint64_t next_ = 1;                               ///< the next connection's key
    link_mode mode_ = link_mode::clear;                    ///< see set_mode()
    duration delay_{};                                     ///< see set_mode()
};

} // namespace pollengrade
