#pragma once

#include "foundation/iclock.h"

namespace turmericsill::foundation {

/// Clock of the operating system. The steady time includes the time for which the machine was suspended, which
/// std::chrono::steady_clock leaves out: leases, claims and permissions of this process expire meanwhile.
class SystemClock : public IClock {
public:
    SteadyTime now() const override;
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace turmericsill::foundation
