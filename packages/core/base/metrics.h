/** @file metrics.h Counters and latency distributions, rendered in the text form that scrapers read. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include <boost/histogram.hpp>

#include "core/base/time_type.h"

namespace pollengrade {

/** A distribution of durations over logarithmic bins. */
class latency_histogram {
public:
    latency_histogram();

    /** Adds one sample. */
    void add(duration sample);
    /** @return the upper edge of the bin in which the @p fraction quantile lies; zero when empty. */
    [[nodiscard]] duration quantile(double fraction) const;
    /** @return the number of samples. */
    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }
    /** Appends the distribution to @p buf under @p name. */
    void render(std::string_view name, std::string& buf) const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = decltype(boost::histogram::make_histogram(axis{1, 1.0, 2.0}));

    histogram bins_;          ///< microseconds, logarithmic
    std::uint64_t count_ = 0; ///< samples
    double sum_ = 0;          ///< microseconds
};

/** Every counter and distribution of one process. */
class metrics {
public:
    /** @return the counter of this name and label, made on first use; the reference stays valid. */
    std::uint64_t& counter(std::string_view name, std::string_view label = {});
    /** @return the distribution of this name, made on first use; the reference stays valid. */
    latency_histogram& distribution(std::string_view name);
    /** @return the value of a counter; zero when it was never used. */
    [[nodiscard]] std::uint64_t value(std::string_view name, std::string_view label = {}) const;
    /** @return all of them in the text form that scrapers read. */
    [[nodiscard]] std::string render() const;

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t, std::less<>>
        counters_;                                                        ///< by name and label
    std::map<std::string, latency_histogram, std::less<>> distributions_; ///< by name
};

} // namespace pollengrade
