#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace turmericsill::foundation {

/// What this process has used since its start.
struct ProcessUsage {
    std::chrono::microseconds processorTime { 0 }; ///< Of all threads, in user and kernel mode.
    std::uint64_t bytesSent = 0; ///< Payload of calls to other processes; see ControlTraffic.
    std::uint64_t bytesReceived = 0;

    ProcessUsage operator-(const ProcessUsage& earlier) const
    {
        return { processorTime - earlier.processorTime, bytesSent - earlier.bytesSent,
            bytesReceived - earlier.bytesReceived };
    }
};

ProcessUsage currentUsage();

/// File descriptors that this process may open, or nothing if they are not limited.
std::optional<std::size_t> descriptorLimit();

} // namespace turmericsill::foundation
