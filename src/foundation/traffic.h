#pragma once

#include <atomic>
#include <cstdint>

namespace turmericsill::foundation {

/// Payload bytes that a process exchanged for control; headers of IP, UDP and TCP are not included.
struct Traffic {
    std::atomic<std::uint64_t> sent { 0 };
    std::atomic<std::uint64_t> received { 0 };

    /// Sum over all control traffic of this process.
    static Traffic& ofProcess();
};

} // namespace turmericsill::foundation
