/** @file heap_func.h Settings of the C library's heap. */
#pragma once

namespace pollengrade {

/**
 * Keeps large buffers out of the heap, so that their memory returns to the system when they are freed. By
 * default the C library takes them from the heap once one has been freed, and the gaps that growing buffers
 * leave there can take several times the memory in use.
 */
void keep_large_buffers_out_of_heap();

} // namespace pollengrade
