#pragma once

#include "foundation/iclock.h"

namespace turmericsill::foundation {

/// Clock of the operating system.
class SystemClock : public IClock {
public:
    SteadyTime now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

} // namespace turmericsill::foundation
