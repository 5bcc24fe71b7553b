/** @file record_merge.h Merges the greatest records of several servers' replies. */
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace pollengrade {

inline constexpr std::size_t record_bytes = 16; ///< size of one record, in bytes

/**
 * @param parts reply bodies made of records in any order; an incomplete record at the end is ignored
 * @param limit maximum number of records to return
 * @return the greatest records by byte order, in descending order; duplicates are kept
 */
[[nodiscard]] std::string merge_records(std::span<const std::string> parts, std::size_t limit);

} // namespace pollengrade
