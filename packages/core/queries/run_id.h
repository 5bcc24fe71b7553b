/** @file run_id.h Names a running request of this node. */
#pragma once

#include <cstdint>

#include "core/base/strong_type.h"

namespace pollengrade {

/** Names one running request of this node, to abandon it. */
using run_id = strong_type<struct run_tag, std::uint64_t>;

} // namespace pollengrade
