/** @file crowd.h Many clients that keep a server busy in ways that ordinary clients do not. */
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "core/base/time_type.h"
#include "net/unique_fd.h"

namespace pollengrade {

inline constexpr duration crowd_turn = std::chrono::milliseconds{50}; ///< between two turns of a crowd

/** What every client of a crowd does on its connection. */
struct crowd_behaviour {
    /** @return what a client sends on a new connection; @p n tells connections apart. Empty for nothing. */
    std::function<std::string(std::size_t n)> bytes;
    std::size_t trickled = 0;   ///< as many bytes at the end are sent one at a time, one each turn
    std::size_t read_bytes = 0; ///< bytes read each turn; 0 for nothing
    /** Connections opened in one turn at most. */
    std::size_t opened_per_turn = std::numeric_limits<std::size_t>::max();
};

/** Clients that open their connections again whenever these end. */
class crowd {
public:
    /** @param address server of all clients @param size number of clients */
    crowd(std::string address, std::size_t size, crowd_behaviour behaviour);

    /** Every client sends and reads what its behaviour allows in one turn. */
    void take_turns();

private:
    struct client {
        unique_fd fd;
        std::string bytes;    ///< what is to be sent on this connection
        std::size_t sent = 0; ///< bytes of it that have been sent
    };

    void open_closed();
    void open(client& it);
    /** @return false if the connection has ended */
    bool take_turn(client& it) const;
    [[nodiscard]] bool send_some(client& it) const;
    [[nodiscard]] bool read_some(const client& it) const;

    std::string address_;         ///< see crowd()
    crowd_behaviour behaviour_;   ///< see crowd()
    std::vector<client> clients_; ///< all clients
    std::size_t opened_ = 0;      ///< connections opened so far
};

} // namespace pollengrade
