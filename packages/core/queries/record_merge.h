/** @file record_merge.h The greatest records of several servers' replies. */
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace pollengrade {

inline constexpr std::size_t record_bytes = 16; ///< size of one record

/**
 * @param parts bodies of whole records in no order; bytes after the last whole record are none
 * @param limit most records wanted
 * @return the greatest records by byte order, greatest first; equal ones all count
 */
[[nodiscard]] std::string merge_records(std::span<const std::string> parts, std::size_t limit);

} // namespace pollengrade
