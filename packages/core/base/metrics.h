/** @file metrics.h Counters and latency histograms, rendered in the Prometheus text format. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include <boost/histogram.hpp>

#include "core/base/time_type.h"

namespace pollengrade {

/** A histogram of durations with logarithmic bins. */
class latency_histogram {
public:
    latency_histogram();

    /** Adds one sample. */
    void add(duration sample);
    /** @return the upper edge of the bin that contains the @p fraction quantile; zero if there are no
     * samples. */
    [[nodiscard]] duration quantile(double fraction) const;
    /** @return the number of samples. */
    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }
    /** Appends the histogram to @p buf in the Prometheus text format, under @p name. */
    void render(std::string_view name, std::string& buf) const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = decltype(boost::histogram::make_histogram(axis{1, 1.0, 2.0}));

    histogram bins_;          ///< samples in microseconds
    std::uint64_t count_ = 0; ///< number of samples
    double sum_ = 0;          ///< sum of all samples, in microseconds
};

/** All counters and latency histograms of one process. */
class metrics {
public:
    /** @return the counter with this name and label, created on first use; the reference stays valid. */
    std::uint64_t& counter(std::string_view name, std::string_view label = {});
    /** @return the histogram with this name, created on first use; the reference stays valid. */
    latency_histogram& distribution(std::string_view name);
    /** @return the value of a counter; zero if it was never used. */
    [[nodiscard]] std::uint64_t value(std::string_view name, std::string_view label = {}) const;
    /** @return all metrics in the Prometheus text format. */
    [[nodiscard]] std::string render() const;

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t, std::less<>>
        counters_;                                                        ///< by name and label
    std::map<std::string, latency_histogram, std::less<>> distributions_; ///< by name
};

} // namespace pollengrade
