/** @file fake_claim_store.h In-memory fake of the platform's claim store with simulated faults. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "core/base/timer_queue.h"
#include "core/queries/claim_type.h"

namespace pollengrade {

/** How a call to the store ends. */
enum class call_outcome : std::uint8_t {
    answered,   ///< takes effect, and the reply arrives
    reply_lost, ///< takes effect, and the reply is lost
    call_lost,  ///< has no effect, and the caller can't tell
    slow,       ///< takes effect, and the reply arrives after a long suspension of the caller
    delayed,    ///< the caller times out, and the call takes effect later
    refused,    ///< has no effect, and the caller knows
    count,      ///< number of the values above
};

/** A linearizable claim store. */
class fake_claim_store {
public:
    /** @param timers the clock. @param next_outcome returns the outcome of each call */
    fake_claim_store(timer_queue& timers, std::function<call_outcome()> next_outcome)
        : timers_{timers}, next_outcome_{std::move(next_outcome)} {}

    [[nodiscard]] claim_store_hooks hooks();
    /** @return all stored claims. */
    [[nodiscard]] const std::map<claim_name, stored_claim>& claims() const noexcept { return claims_; }

    /** Comes back from a copy that is older than all claims; revisions start again. */
    void restore_empty_copy() {
        claims_.clear();
        revision_ = 0;
    }

private:
    store_result apply_write(const claim_name& name, const claim& value, object_version expected);
    void finish(store_result result, const store_done& done, duration delay);

    timer_queue& timers_;                        ///< the clock
    std::function<call_outcome()> next_outcome_; ///< returns the outcome of each call
    std::map<claim_name, stored_claim> claims_;  ///< the stored claims
    std::uint64_t revision_ = 0;                 ///< the latest version assigned
};

} // namespace pollengrade
