/** @file strong_type.h Distinct value types over a plain representation, so that IDs cannot be mixed up. */
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace pollengrade {

/**
 * A value of representation @p Rep that only compares with values of the same @p Tag.
 * @tparam Tag an incomplete type that names the kind of value
 * @tparam Rep the representation
 */
template <typename Tag, typename Rep> class strong_type {
public:
    constexpr strong_type() = default;
    constexpr explicit strong_type(Rep value) : value_{std::move(value)} {}

    /** @return the representation. */
    [[nodiscard]] constexpr const Rep& value() const noexcept { return value_; }

    friend auto operator<=>(const strong_type&, const strong_type&) = default;

private:
    Rep value_{}; ///< the wrapped value
};

} // namespace pollengrade

/** Hashes a strong type as its representation. */
template <typename Tag, typename Rep> struct std::hash<pollengrade::strong_type<Tag, Rep>> {
    std::size_t operator()(const pollengrade::strong_type<Tag, Rep>& it) const noexcept {
        return std::hash<Rep>{}(it.value());
    }
};
