/** @file odd_entry.h Entries of another writer that are not JSON. */
#pragma once

#include <cstddef>
#include <string>

namespace pollengrade {

inline constexpr std::size_t odd_entries = 12; ///< number of kinds that odd_entry() makes

/**
 * @param kind which of the odd_entries
 * @return the content of an entry, not JSON, although some parsers accept it, and nested deeply
 */
[[nodiscard]] std::string odd_entry(std::size_t kind);

} // namespace pollengrade
