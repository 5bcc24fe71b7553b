/** @file record_merge.cpp Partial sort over views of the reply bodies. */
#include "core/queries/record_merge.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace pollengrade {

std::string merge_records(std::span<const std::string> parts, std::size_t limit) {
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t at = 0; at + record_bytes <= part.size(); at += record_bytes)
            records.push_back(part.substr(at, record_bytes));
    }
    const std::size_t kept = std::min(limit, records.size());
    // std::string_view compares bytes as unsigned values.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(),
                      std::greater<>{});
    std::string merged;
    merged.reserve(kept * record_bytes);
    for (std::size_t n = 0; n < kept; ++n)
        merged.append(records[n]);
    return merged;
}

} // namespace pollengrade
