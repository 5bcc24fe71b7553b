/** @file metrics.cpp Implementation of counters and latency histograms. */
#include "core/base/metrics.h"

#include <cmath>

namespace pollengrade {

namespace {

constexpr unsigned bin_count = 200;        ///< each bin is about 8 % wide
constexpr double min_microseconds = 10;    ///< lower edge of the first bin
constexpr double max_microseconds = 6.0e7; ///< upper edge of the last bin

} // namespace

latency_histogram::latency_histogram()
    : bins_{boost::histogram::make_histogram(axis{bin_count, min_microseconds, max_microseconds})} {}

void latency_histogram::add(duration sample) {
    const auto n = static_cast<double>(sample.count());
    bins_(n);
    ++count_;
    sum_ += n;
}

duration latency_histogram::quantile(double fraction) const {
    const double target_count = fraction * static_cast<double>(count_);
    double cumulative = 0;
    for (auto&& it : boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
        cumulative += static_cast<double>(*it);
        if (cumulative >= target_count && cumulative > 0) {
            const double upper = std::isfinite(it.bin().upper()) ? it.bin().upper() : max_microseconds;
            return duration{static_cast<duration::rep>(upper)};
        }
    }
    return duration{0};
}

void latency_histogram::render(std::string_view name, std::string& buf) const {
    const std::string prefix = "pollengrade_" + std::string{name};
    buf += "# TYPE " + prefix + "_us histogram\n";
    double cumulative = 0;
    for (auto&& it : boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
        if (*it == 0)
            continue;
        cumulative += static_cast<double>(*it);
        if (!std::isfinite(it.bin().upper()))
            continue;
        buf += prefix + "_us_bucket{le=\"" + std::to_string(it.bin().upper()) + "\"} " +
               std::to_string(static_cast<std::uint64_t>(cumulative)) + "\n";
    }
    buf += prefix + "_us_bucket{le=\"+Inf\"} " + std::to_string(count_) + "\n";
    buf += prefix + "_us_sum " + std::to_string(sum_) + "\n";
    buf += prefix + "_us_count " + std::to_string(count_) + "\n";
}

std::uint64_t& metrics::counter(std::string_view name, std::string_view label) {
    const auto it = counters_.find(std::pair{std::string{name}, std::string{label}});
    if (it != counters_.end())
        return it->second;
    return counters_[{std::string{name}, std::string{label}}];
}

latency_histogram& metrics::distribution(std::string_view name) {
    const auto it = distributions_.find(name);
    if (it != distributions_.end())
        return it->second;
    return distributions_[std::string{name}];
}

std::uint64_t metrics::value(std::string_view name, std::string_view label) const {
    const auto it = counters_.find(std::pair{std::string{name}, std::string{label}});
    return it == counters_.end() ? 0 : it->second;
}

std::string metrics::render() const {
    std::string buf;
    std::string previous;
    for (const auto& [key, count] : counters_) {
        const std::string name = "pollengrade_" + key.first + "_total";
        if (name != previous)
            buf += "# TYPE " + name + " counter\n";
        previous = name;
        buf += name + (key.second.empty() ? "" : "{kind=\"" + key.second + "\"}") + " " +
               std::to_string(count) + "\n";
    }
    for (const auto& [name, it] : distributions_)
        it.render(name, buf);
    return buf;
}

} // namespace pollengrade
