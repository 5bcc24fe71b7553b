/** @file fake_claim_store.cpp Faults of the claim store. */
#include "support/fake_claim_store.h"

#include <utility>

namespace pollengrade {

namespace {

constexpr duration call_time = std::chrono::milliseconds{2};    ///< from a call to its reply
constexpr duration call_limit = std::chrono::milliseconds{60};  ///< when a caller gives up
constexpr duration long_pause = std::chrono::milliseconds{400}; ///< of a caller that is stopped
constexpr duration late_effect = std::chrono::milliseconds{90}; ///< when a delayed call takes effect

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
        const call_fate fate = fate_();
        switch (fate) {
        case call_fate::answered:
        case call_fate::slow:
        case call_fate::delayed: {
            const auto found = claims_.find(name);
            finish(found == claims_.end() ? store_result{tl::unexpected{store_error::absent}} : found->second,
                   done, call_time);
            break;
        }
        case call_fate::refused:
            finish(tl::unexpected{store_error::unavailable}, done, call_time);
            break;
        case call_fate::reply_lost:
        case call_fate::call_lost:
        case call_fate::count:
            finish(tl::unexpected{store_error::reply_lost}, done, call_limit);
            break;
        }
    };
    it.write = [this](const claim_name& name, const claim& value, object_version expected,
                      const store_done& done) {
        switch (fate_()) {
        case call_fate::answered:
            finish(apply_write(name, value, expected), done, call_time);
            break;
        case call_fate::slow:
            finish(apply_write(name, value, expected), done, long_pause);
            break;
        case call_fate::reply_lost:
            static_cast<void>(apply_write(name, value, expected));
            finish(tl::unexpected{store_error::reply_lost}, done, call_limit);
            break;
        case call_fate::call_lost:
        case call_fate::count:
            finish(tl::unexpected{store_error::reply_lost}, done, call_limit);
            break;
        case call_fate::delayed:
            timers_.schedule_after(late_effect, [this, name, value, expected] {
                static_cast<void>(apply_write(name, value, expected));
            });
            finish(tl::unexpected{store_error::reply_lost}, done, call_limit);
            break;
        case call_fate::refused:
            finish(tl::unexpected{store_error::unavailable}, done, call_time);
            break;
        }
    };
    return it;
}

} // namespace pollengrade
