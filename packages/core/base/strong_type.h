/** @file strong_type.h Distinct types with the same representation, so that IDs cannot be confused. */
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace pollengrade {

/**
 * A value of type @p Rep that can be compared only with values of the same @p Tag.
 * @tparam Tag incomplete type that identifies the kind of value
 * @tparam Rep type of the wrapped value
 */
template <typename Tag, typename Rep> class strong_type {
public:
    constexpr strong_type() = default;
    constexpr explicit strong_type(Rep value) : value_{std::move(value)} {}

    /** @return the wrapped value. */
    [[nodiscard]] constexpr const Rep& value() const noexcept { return value_; }

    friend auto operator<=>(const strong_type&, const strong_type&) = default;

private:
    Rep value_{}; ///< the wrapped value
};

} // namespace pollengrade

/** Hashes a strong type like its wrapped value. */
template <typename Tag, typename Rep> struct std::hash<pollengrade::strong_type<Tag, Rep>> {
    std::size_t operator()(const pollengrade::strong_type<Tag, Rep>& it) const noexcept {
        return std::hash<Rep>{}(it.value());
    }
};
