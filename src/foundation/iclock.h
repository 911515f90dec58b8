#pragma once

#include <chrono>

namespace turmericsill::foundation {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using std::chrono::milliseconds;

/// Source of time. It is injected so that tests control the time and simulated runs replay identically.
class IClock {
public:
    virtual ~IClock() = default;

    /// Monotonic time, used for deadlines and leases.
    virtual SteadyTime now() const = 0;

    /// Calendar time, used for records and reports only.
    virtual WallTime wallNow() const = 0;
};

} // namespace turmericsill::foundation
