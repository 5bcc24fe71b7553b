/** @file link_proxy.h TCP proxy that can delay, block, stall or reset the connections of a link. */
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

/** How a link forwards data. */
enum class link_mode : std::uint8_t {
    clear,   ///< forwards data immediately
    delayed, ///< forwards data after a delay
    cut,     ///< buffers data in both directions until the mode changes
    one_way, ///< buffers data towards the client until the mode changes
};

/** Accepts connections and forwards their data to and from another address. */
class link_proxy {
public:
    /**
     * @param poller watches the sockets
     * @param timers schedules delayed data
     * @param from "IPv4:port" to listen on
     * @param to "IPv4:port" to connect to
     */
    link_proxy(socket_poller& poller, timer_queue& timers, std::string from, std::string to);
    link_proxy(const link_proxy&) = delete;
    link_proxy& operator=(const link_proxy&) = delete;
    link_proxy(link_proxy&&) = delete;
    link_proxy& operator=(link_proxy&&) = delete;
    ~link_proxy();

    /** Starts listening. @return false if that fails */
    [[nodiscard]] bool start();
    /** Changes how data is forwarded from now on. @param delay used by link_mode::delayed */
    void set_mode(link_mode mode, duration delay = duration{0});
    /** Resets every connection. */
    void reset_all();
    /** Permanently stops forwarding on all open connections without closing them; new connections work. */
    void stall_open();

private:
    class pipe; ///< one proxied connection

    void accept();
    void retire(std::uint64_t key);
    [[nodiscard]] bool is_blocked(bool to_client) const;

    socket_poller& poller_;                                ///< watches the sockets
    timer_queue& timers_;                                  ///< schedules delayed data
    std::string from_;                                     ///< address to listen on
    std::string to_;                                       ///< address to connect to
    unique_fd listener_;                                   ///< the listening socket
    socket_watch watch_;                                   ///< watch of the listening socket
    std::map<std::uint64_t, std::unique_ptr<pipe>> pipes_; ///< open connections
    std::vector<std::unique_ptr<pipe>> retired_; ///< closed connections, destroyed in the next loop iteration
    std::uint64_t next_ = 1;                     ///< key of the next connection
    link_mode mode_ = link_mode::clear;          ///< see set_mode()
    duration delay_{};                           ///< see set_mode()
};

} // namespace pollengrade
