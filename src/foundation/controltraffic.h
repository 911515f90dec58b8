#pragma once

#include <atomic>
#include <cstdint>

namespace turmericsill::foundation {

/// Payload bytes of the control traffic of a process, without IP, UDP and TCP headers.
struct ControlTraffic {
    std::atomic<std::uint64_t> sent { 0 };
    std::atomic<std::uint64_t> received { 0 };

    /// Counters of the whole process.
    static ControlTraffic& processTotals();
};

} // namespace turmericsill::foundation
