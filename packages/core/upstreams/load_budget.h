/** @file load_budget.h The bound on hedges and retries, in proportion to the requests needed. */
#pragma once

#include <algorithm>
#include <cstdint>

namespace pollengrade {

/** A token bucket that fills with traffic: each request needed adds a fraction of an extra one. */
class load_budget {
public:
    /**
     * @param percent extra requests for each hundred needed
     * @param burst most extra requests saved up
     */
    load_budget(std::uint32_t percent, std::uint32_t burst)
        : per_request_{percent}, capacity_{std::uint64_t{burst} * units_per_token},
          // Full at the start: a fresh node that meets a lost server must be able to ask another.
          saved_{capacity_} {}

    /** Changes the bounds and keeps what is saved, as far as the new burst allows. */
    void set_limits(std::uint32_t percent, std::uint32_t burst) {
        per_request_ = percent;
        capacity_ = std::uint64_t{burst} * units_per_token;
        saved_ = std::min(saved_, capacity_);
    }

    /** Notes one request that was needed. */
    void on_needed_request() { saved_ = std::min(capacity_, saved_ + per_request_); }

    /** @return whether an extra request may be sent; takes it from what is saved. */
    [[nodiscard]] bool try_take() {
        if (saved_ < units_per_token)
            return false;
        saved_ -= units_per_token;
        return true;
    }

    /** Gives back an extra request that turned out not to have run. */
    void give_back() { saved_ = std::min(capacity_, saved_ + units_per_token); }

private:
    static constexpr std::uint64_t units_per_token = 100; ///< hundredths, so that percents add exactly

    std::uint64_t per_request_ = 0; ///< hundredths added by a needed request
    std::uint64_t capacity_ = 0;    ///< most hundredths saved
    std::uint64_t saved_ = 0;       ///< hundredths saved
};

} // namespace pollengrade
