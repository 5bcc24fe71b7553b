/** @file run_id.h Identifier of a request that runs on this node. */
#pragma once

#include <cstdint>

#include "core/base/strong_type.h"

namespace pollengrade {

/** Identifies a request that runs on this node, for abandoning it. */
using run_id = strong_type<struct run_tag, std::uint64_t>;

} // namespace pollengrade
