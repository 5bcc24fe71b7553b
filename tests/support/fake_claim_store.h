/** @file fake_claim_store.h The platform's claims in memory, with its faults. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "core/base/timer_queue.h"
#include "core/queries/claim_type.h"

namespace pollengrade {

/** What happens to a call. */
enum class call_fate : std::uint8_t {
    answered,   ///< takes effect, and the reply arrives
    reply_lost, ///< takes effect, and the reply is lost
    call_lost,  ///< has no effect, and the caller cannot tell
    slow,       ///< takes effect, and the reply arrives after a long pause of the caller
    delayed,    ///< the caller gives up; the call takes effect later
    refused,    ///< has no effect, and the caller knows
    count,      ///< number of the values above
};

/** A linearizable store of claims. */
class fake_claim_store {
public:
    /** @param timers the clock. @param fate draws what happens to each call */
    fake_claim_store(timer_queue& timers, std::function<call_fate()> fate)
        : timers_{timers}, fate_{std::move(fate)} {}

    [[nodiscard]] claim_store_hooks hooks();
    /** @return all claims held. */
    [[nodiscard]] const std::map<claim_name, stored_claim>& claims() const noexcept { return claims_; }

private:
    store_result apply_write(const claim_name& name, const claim& value, object_version expected);
    void finish(store_result result, const store_done& done, duration delay);

    timer_queue& timers_;                       ///< the clock
    std::function<call_fate()> fate_;           ///< what happens to each call
    std::map<claim_name, stored_claim> claims_; ///< what is held
    std::uint64_t revision_ = 0;                ///< the latest version given
};

} // namespace pollengrade
