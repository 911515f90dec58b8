#include "foundation/heaplimits.h"

#include <malloc.h>

namespace turmericsill::foundation {

namespace {

    constexpr int mappedFromBytes = 256 << 10; ///< Larger than the buffers of ordinary requests and log reads.
    constexpr int keptFreeBytes = 128 << 10; ///< As the allocator's own, which would grow with the largest buffer.

} // namespace

void setHeapLimits()
{
    ::mallopt(M_MMAP_THRESHOLD, mappedFromBytes);
    ::mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
}

} // namespace turmericsill::foundation
