#pragma once

namespace turmericsill::foundation {

/// Lets the process return large buffers to the system as soon as they are freed. Without this the allocator keeps
/// them, up to 32 MB, once it has seen one of that size.
void setHeapLimits();

} // namespace turmericsill::foundation
