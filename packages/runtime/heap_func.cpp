/** @file heap_func.cpp Thresholds of malloc(). */
#include "runtime/heap_func.h"

#include <malloc.h>

namespace pollengrade {

namespace {

constexpr int large_buffer_bytes = 128 * 1024;
constexpr int kept_free_bytes = 1024 * 1024; ///< free memory at the heap's end that is kept for later

} // namespace

void keep_large_buffers_out_of_heap() {
    ::mallopt(M_MMAP_THRESHOLD, large_buffer_bytes);
    ::mallopt(M_TRIM_THRESHOLD, kept_free_bytes);
}

} // namespace pollengrade
