/** @file fake_claim_store.cpp Simulates calls to the claim store and their faults. */
#include "support/fake_claim_store.h"

#include <utility>

namespace pollengrade {

namespace {

constexpr duration reply_delay = std::chrono::milliseconds{2};        ///< from a call to its reply
constexpr duration call_timeout = std::chrono::milliseconds{60};      ///< after which the caller times out
constexpr duration suspension_delay = std::chrono::milliseconds{400}; ///< of a suspended caller
constexpr duration late_effect_delay = std::chrono::milliseconds{90}; ///< later than call_timeout

} // namespace

store_result fake_claim_store::apply_write(const claim_name& name, const claim& value,
                                           object_version expected) {
    const auto it = claims_.find(name);
    const object_version found = it == claims_.end() ? object_version{} : it->second.version;
    if (found != expected)
        return tl::unexpected{store_error::conflict};
    const stored_claim stored{value, object_version{++revision_}};
    claims_.insert_or_assign(name, stored);
    return stored;
}

void fake_claim_store::finish(store_result result, const store_done& done, duration delay) {
    timers_.schedule_after(delay, [done, result = std::move(result)] { done(result); });
}

claim_store_hooks fake_claim_store::hooks() {
    claim_store_hooks it;
    it.read = [this](const claim_name& name, const store_done& done) {
        const call_outcome outcome = next_outcome_();
        switch (outcome) {
        case call_outcome::answered:
        case call_outcome::slow:
        case call_outcome::delayed: {
            const auto found = claims_.find(name);
            finish(found == claims_.end() ? store_result{tl::unexpected{store_error::absent}} : found->second,
                   done, reply_delay);
            break;
        }
        case call_outcome::refused:
            finish(tl::unexpected{store_error::unavailable}, done, reply_delay);
            break;
        case call_outcome::reply_lost:
        case call_outcome::call_lost:
        case call_outcome::count:
            finish(tl::unexpected{store_error::reply_lost}, done, call_timeout);
            break;
        }
    };
    it.write = [this](const claim_name& name, const claim& value, object_version expected,
                      const store_done& done) {
        switch (next_outcome_()) {
        case call_outcome::answered:
            finish(apply_write(name, value, expected), done, reply_delay);
            break;
        case call_outcome::slow:
            finish(apply_write(name, value, expected), done, suspension_delay);
            break;
        case call_outcome::reply_lost:
            static_cast<void>(apply_write(name, value, expected));
            finish(tl::unexpected{store_error::reply_lost}, done, call_timeout);
            break;
        case call_outcome::call_lost:
        case call_outcome::count:
            finish(tl::unexpected{store_error::reply_lost}, done, call_timeout);
            break;
        case call_outcome::delayed:
            timers_.schedule_after(late_effect_delay, [this, name, value, expected] {
                static_cast<void>(apply_write(name, value, expected));
            });
            finish(tl::unexpected{store_error::reply_lost}, done, call_timeout);
            break;
        case call_outcome::refused:
            finish(tl::unexpected{store_error::unavailable}, done, reply_delay);
            break;
        }
    };
    return it;
}

} // namespace pollengrade
